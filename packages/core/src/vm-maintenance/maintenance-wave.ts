/** A wave of maintenance: a set of VMs, each of which is maintained once. */
export interface MaintenanceWave {
    readonly number: number;
    readonly vms: readonly string[];
    /** Maximum number of VMs of the wave that may be down at once. */
    readonly cap: number;
    /** Deadline for the whole wave, wall clock milliseconds. */
    readonly deadlineAtMs: number;
    /** VMs whose maintenance has begun, or that no longer exist. */
    readonly done: readonly string[];
}
