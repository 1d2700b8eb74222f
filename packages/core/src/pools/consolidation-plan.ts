import type { BusyVm } from "./busy-vm.js";
import type { PinningRun } from "./pinning-run.js";

/** What frees VMs of calm pools for pools that are short. */
export interface ConsolidationPlan {
    /** VMs on which nothing may start. */
    readonly closed: readonly BusyVm[];
    readonly stops: readonly PinningRun[];
}
