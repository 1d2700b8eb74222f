import type { AffectedRun } from "./affected-run.js";

/** What to do next for a wave. */
export interface MaintenancePlan {
    /** VMs on which nothing new may start. */
    readonly draining: readonly string[];
    /** Runs to stop, with their targets. */
    readonly stops: readonly { readonly target: string; readonly run: AffectedRun }[];
    /** VMs whose maintenance can begin. */
    readonly orders: readonly string[];
}
