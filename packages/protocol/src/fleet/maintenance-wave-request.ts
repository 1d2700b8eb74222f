/** An operator's order to maintain VMs. */
export interface MaintenanceWaveRequest {
    readonly number: number;
    readonly vms: readonly string[];
    /** Seconds from now in which all should be done. */
    readonly deadlineS: number;
    /** Most VMs down at once. */
    readonly cap: number;
}
