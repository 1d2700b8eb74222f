import type { AffectedRun } from "./affected-run.js";

/** Next actions for a wave. */
export interface MaintenancePlan {
    /** VMs to drain, on which no new task may start. */
    readonly draining: readonly string[];
    /** Runs to stop, with their targets. */
    readonly stops: readonly { readonly target: string; readonly run: AffectedRun }[];
    /** VMs that cannot be emptied for now; tasks start there again until their next turn. */
    readonly postponed: readonly string[];
    /** VMs whose maintenance is to be requested now. */
    readonly vmsToStart: readonly string[];
}
