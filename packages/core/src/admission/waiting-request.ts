/** A request that waits for a slot. */
export interface WaitingRequest {
    readonly id: number;
    readonly pool: string;
    readonly team: string;
    readonly isUrgent: boolean;
    /** When the request was queued, monotonic milliseconds. */
    readonly enqueuedAt: number;
    /** Latest useful start, monotonic milliseconds. */
    readonly startBy: number;
    /** VMs of targets that already failed this request. */
    readonly avoid: ReadonlySet<string>;
    /** Set once the request no longer waits; queues skip such requests. */
    isRemoved: boolean;
}
