/** What one holder may use of a resource. */
export interface Grant {
    /** What the holder is told that it may use. */
    allowed: number;
    /** Upper bound of what the holder may be using, until it confirms a lower allowance. */
    ceiling: number;
    /** Sequence at which the allowance last changed. */
    sequence: number;
}
