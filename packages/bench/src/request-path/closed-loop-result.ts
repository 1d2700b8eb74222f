/** Rate and times of a closed loop of requests. */
export interface ClosedLoopResult {
    readonly requestsPerSecond: number;
    /** Milliseconds. */
    readonly p50: number;
    readonly p99: number;
}
