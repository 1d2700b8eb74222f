/** The estimated wait of a new request. */
export interface WaitEstimate {
    /** Estimated wait for a slot, milliseconds. */
    readonly waitMs: number;
    /**
     * Number of slots that the estimate is based on, possibly fractional. 0 when the team has none; the wait is then
     * unknown and `waitMs` is 0.
     */
    readonly slots: number;
}
