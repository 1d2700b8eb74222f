/** Rate and latency of a closed loop of requests. */
export interface ClosedLoopResult {
    /** Successful requests per second. */
    readonly requestsPerSecond: number;
    /** Median latency, milliseconds; 0 when no request succeeded. */
    readonly p50: number;
    /** 99th percentile of the latency, milliseconds; 0 when no request succeeded. */
    readonly p99: number;
}
