/** A holder's grant of units of a resource. */
export interface Grant {
    /** Allowance that is sent to the holder, units. */
    allowed: number;
    /** Upper bound of the units that the holder may be using; above `allowed` until it confirms a decrease. */
    ceiling: number;
    /** Sequence number of the last change of the allowance. */
    sequence: number;
}
