/** How long a new request would wait. */
export interface WaitEstimate {
    readonly waitMs: number;
    /** Slots on which the estimate rests; 0 when there is none to go by. */
    readonly slots: number;
}
