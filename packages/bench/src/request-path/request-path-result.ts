import type { ClosedLoopResult } from "./closed-loop-result.js";

/** Cost of the path of a request against a bare forwarder. */
export interface RequestPathResult {
    readonly pairs: readonly {
        readonly bare: ClosedLoopResult;
        readonly entry: ClosedLoopResult;
        readonly ratio: number;
    }[];
    readonly medianRatio: number;
    /** Megabytes echoed through the entry in one request, and whether they came back whole. */
    readonly echoedMegabytes: number;
    readonly isWhole: boolean;
    /** Growth of the entry's memory meanwhile, megabytes. */
    readonly memoryGrowthMb: number;
}
