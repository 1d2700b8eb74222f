/** A request to start a task. */
export interface StartTaskRequest {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly spec: string;
    /** End of the lease on the target's clock, milliseconds. */
    readonly leaseUntilMs: number;
    readonly fencingToken: number;
    /** Checkpoint from which the task resumes; empty for none. */
    readonly saved: string;
    /** Ticket from the placement adviser; empty for none. */
    readonly ticket: string;
}
