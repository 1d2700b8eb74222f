/** What the leader knows of its order for one run. */
export interface RunRequestState {
    readonly run: number;
    /** When the first order was sent, monotonic milliseconds. */
    readonly createdAt: number;
    /** Whether a start was sent at all; before, it is certain that the run has not begun. */
    isStartSent: boolean;
    /** Whether a start may have arrived that was never answered. */
    isStartUnanswered: boolean;
    /** Whether the target has confirmed a stop; no start of this run can follow it. */
    isStopConfirmed: boolean;
    /** Whether the run is to be stopped. */
    isStopRequested: boolean;
    /** When the target last confirmed an order; a list that was asked for later is complete. */
    confirmedAt: number | undefined;
    /** Whether an order for this run is under way. */
    isInFlight: boolean;
}
