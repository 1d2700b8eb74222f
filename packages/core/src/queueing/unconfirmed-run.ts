/** A run that is recorded on a target and whose start the target has not confirmed. */
export interface UnconfirmedRun {
    /** Milliseconds since the leader began to send the start, or since its session began if it has not sent one. */
    readonly ageMs: number;
    /** Whether the leader is sending a request for the run, or waits to send it again. */
    readonly isInFlight: boolean;
}
