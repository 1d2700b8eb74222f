/** State of a job as a caller sees it. */
export enum JobPhase {
    Queued = "queued",
    Running = "running",
    Completed = "completed",
    Failed = "failed",
    Cancelled = "cancelled",
}
