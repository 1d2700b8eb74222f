import type { UpkeepRun } from "./upkeep-run.js";

/** What to do next for a wave. */
export interface UpkeepPlan {
    /** VMs on which nothing new may start. */
    readonly emptying: readonly string[];
    /** Runs to stop, with their targets. */
    readonly stops: readonly { readonly target: string; readonly run: UpkeepRun }[];
    /** VMs whose maintenance can begin. */
    readonly orders: readonly string[];
}
