/** A pool as the planner of moves sees it. Amounts are thousandths of a core. */
export interface PoolView {
    readonly name: string;
    /** Whether its VMs are switched off. */
    readonly isSpare: boolean;
    /** Capacity of its targets and of the VMs that are on their way to it. */
    readonly capacity: number;
    /** What may be in use. */
    readonly used: number;
    /** What waiting tasks ask for. */
    readonly wanted: number;
    /** What will be in use and wanted when a VM that is called now arrives. */
    readonly expected: number;
    /** Capacity that it has by its own VMs. */
    readonly homeCapacity: number;
    /** Highest demand of the last moments: what it still needs when demand has only paused. */
    readonly peak: number;
    /** VMs on which nothing may be running and which may leave. */
    readonly idleVms: readonly IdleVm[];
}

/** A VM that may leave its pool. */
interface IdleVm {
    readonly vm: string;
    /** Pool that it belongs to when nobody is short. */
    readonly home: string;
    readonly cpu: number;
}
