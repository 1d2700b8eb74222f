/** A set of VMs that are each to be maintained once. */
export interface MaintenanceWave {
    readonly number: number;
    readonly vms: readonly string[];
    /** Most VMs that may be down for it at once. */
    readonly cap: number;
    /** Wall clock by which all should be done, milliseconds. */
    readonly deadlineAtMs: number;
    /** VMs whose maintenance has begun, or that are no more. */
    readonly done: readonly string[];
}
