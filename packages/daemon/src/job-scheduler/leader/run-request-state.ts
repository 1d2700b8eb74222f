/** State of the leader's request for one run. */
export interface RunRequestState {
    readonly run: number;
    /** When the request was created, monotonic milliseconds. */
    readonly createdAt: number;
    /** Whether a start was sent; until then the run cannot have begun. */
    isStartSent: boolean;
    /** Whether a start may have arrived for which no response was received. */
    isStartUnanswered: boolean;
    /**
     * When a start was last sent that this incarnation of the target has not answered, so that the next one may execute it,
     * monotonic milliseconds; `undefined` if there is none.
     */
    unansweredStartAt: number | undefined;
    /** Whether the target has confirmed a stop; it accepts no start of this run afterwards. */
    isStopConfirmed: boolean;
    /** Whether the run is to be stopped. */
    isStopRequested: boolean;
    /** When the target last confirmed a request, monotonic milliseconds; a list requested later reflects it. */
    confirmedAt: number | undefined;
    /** Clock of the target when it confirmed the start, milliseconds; `undefined` before that. */
    confirmedClockMs: number | undefined;
    /** Whether a request for this run is in flight. */
    isInFlight: boolean;
}
