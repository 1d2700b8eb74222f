/** Limits how often children are restarted before their supervisor escalates the failure to its parent. */
export interface RestartPolicy {
    /** Restarts allowed within the period, over all children. */
    readonly maxRestarts: number;
    /** Sliding window over which restarts are counted, milliseconds. */
    readonly periodMs: number;
    /** Delay before a restart, milliseconds. */
    readonly delayMs: number;
}
