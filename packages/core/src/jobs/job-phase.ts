/** Phase of a job as reported to its caller. */
export enum JobPhase {
    /** No run of its tasks is known to have begun. */
    Queued = "queued",
    Running = "running",
    Completed = "completed",
    Failed = "failed",
    Cancelled = "cancelled",
}
