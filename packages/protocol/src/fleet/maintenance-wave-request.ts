/** An operator's request to perform maintenance on VMs. */
export interface MaintenanceWaveRequest {
    /** Identifies the wave. A request with the number of an existing wave changes nothing. */
    readonly number: number;
    readonly vms: readonly string[];
    /** Time by which all VMs should be maintained, seconds from now. */
    readonly deadlineS: number;
    /** Maximum number of VMs in maintenance at the same time. */
    readonly cap: number;
}
