import type { LoopFigures } from "./loop-figures.js";

/** Cost of the path of a request against a bare forwarder. */
export interface PathFigures {
    readonly pairs: readonly { readonly bare: LoopFigures; readonly entry: LoopFigures; readonly ratio: number }[];
    readonly medianRatio: number;
    /** Megabytes echoed through the entry in one request, and whether they came back whole. */
    readonly echoedMegabytes: number;
    readonly isWhole: boolean;
    /** Growth of the entry's memory meanwhile, megabytes. */
    readonly memoryGrowthMb: number;
}
