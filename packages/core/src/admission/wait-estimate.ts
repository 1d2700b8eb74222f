/** The estimated wait of a new request. */
export interface WaitEstimate {
    /** Estimated wait for a slot, milliseconds. */
    readonly waitMs: number;
    /** Slots that the estimate is based on, may be fractional; 0 when the team has none, and the wait is then unknown. */
    readonly slots: number;
}
