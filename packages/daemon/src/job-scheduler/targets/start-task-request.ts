/** An order to start a task. */
export interface StartTaskRequest {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly spec: string;
    readonly leaseUntilMs: number;
    readonly fencingToken: number;
    /** Empty for none. */
    readonly saved: string;
    /** Ticket of the placement adviser; empty for none. */
    readonly ticket: string;
}
