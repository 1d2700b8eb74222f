/** Phase of a job as reported to its caller. */
export enum JobPhase {
    Queued = "queued",
    Running = "running",
    Completed = "completed",
    Failed = "failed",
    Cancelled = "cancelled",
}
