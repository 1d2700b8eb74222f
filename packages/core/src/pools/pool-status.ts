import type { IdleVm } from "./idle-vm.js";
import type { JobArrival } from "./job-arrival.js";

/** Current state of a pool. Amounts are thousandths of a core. */
export interface PoolStatus {
    readonly name: string;
    /** Whether it is a spare pool, whose VMs are powered off. */
    readonly isSpare: boolean;
    /** Capacity of its targets and of the VMs that are moving to it. */
    readonly capacity: number;
    /** The part of the capacity of its targets that takes no start at this moment, for whatever reason. */
    readonly unusable: number;
    /** The part of `capacity` that is moving to it. */
    readonly incoming: number;
    /** Resources that may be in use. */
    readonly used: number;
    /** The part of `used` that long-running tasks hold. */
    readonly usedLongRunning: number;
    /** Resources that waiting tasks request. */
    readonly wanted: number;
    /** The part of `wanted` of tasks that cannot be on time any more. */
    readonly wantedLate: number;
    /** Jobs that have arrived since the last status. */
    readonly arrivals: readonly JobArrival[];
    /** Capacity of the VMs whose home it is. */
    readonly homeCapacity: number;
    /** VMs on which nothing may be running and which may leave. */
    readonly idleVms: readonly IdleVm[];
}
