/** Rate and latency of a closed loop of requests. */
export interface ClosedLoopResult {
    readonly requestsPerSecond: number;
    /** Median latency, milliseconds. */
    readonly p50: number;
    /** 99th percentile of the latency, milliseconds. */
    readonly p99: number;
}
