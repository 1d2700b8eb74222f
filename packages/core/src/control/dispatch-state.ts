/** State of a claimed unrepeatable request. */
export enum DispatchState {
    /** Claimed; the request may be running or may have run. */
    Dispatched = "dispatched",
    /** The target responded. */
    Completed = "completed",
    /** Certainly not run; the same id may be claimed again. */
    NotRun = "not-run",
}
