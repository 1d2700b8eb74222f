import type { ClosedLoopResult } from "./closed-loop-result.js";

/** Cost of requests through an entry compared with a minimal forwarder. */
export interface RequestPathResult {
    /** Alternating runs through the forwarder (`bare`) and the entry; `ratio` is entry rate divided by forwarder rate. */
    readonly pairs: readonly {
        readonly bare: ClosedLoopResult;
        readonly entry: ClosedLoopResult;
        readonly ratio: number;
    }[];
    readonly medianRatio: number;
    /** Size of the request body that is echoed through the entry, MiB. */
    readonly echoedMegabytes: number;
    /** Whether the echoed body equals the body that was sent. */
    readonly isWhole: boolean;
    /** Largest growth of the entry's memory during the echo, MiB. */
    readonly memoryGrowthMb: number;
}
