/** The maximum number of VMs of a pool that may be unavailable at once. */
export interface DisruptionBudget {
    readonly pool: string;
    /** Number of VMs in the pool. */
    readonly vms: number;
    readonly maxUnavailable: number;
}
