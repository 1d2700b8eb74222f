/** How far an unrepeatable request has come. */
export enum DispatchState {
    /** Claimed: it may be running or may have run. */
    Dispatched = "dispatched",
    /** The target answered. */
    Completed = "completed",
    /** Certainly not run; the same id may be claimed again. */
    NotRun = "not-run",
}
