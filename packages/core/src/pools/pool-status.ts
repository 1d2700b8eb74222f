import type { IdleVm } from "./idle-vm.js";

/** A pool as it is now. Amounts are thousandths of a core. */
export interface PoolStatus {
    readonly name: string;
    /** Whether its VMs are switched off. */
    readonly isSpare: boolean;
    /** Capacity of its targets and of the VMs that are on their way to it. */
    readonly capacity: number;
    /** What may be in use. */
    readonly used: number;
    /** Of it, for long-running tasks. */
    readonly usedLongRunning: number;
    /** What waiting tasks ask for. */
    readonly wanted: number;
    /** Capacity that it has by its own VMs. */
    readonly homeCapacity: number;
    /** VMs on which nothing may be running and which may leave. */
    readonly idleVms: readonly IdleVm[];
}
