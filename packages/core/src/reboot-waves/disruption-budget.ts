/** How many VMs of a pool may be unavailable at once. */
export interface DisruptionBudget {
    readonly pool: string;
    readonly vms: number;
    readonly maxUnavailable: number;
}
