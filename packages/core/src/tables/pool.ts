/** A named set of VMs that serve the same requests and tasks. */
export interface Pool {
    /** Disruption budget: largest share of the pool's VMs that may be unavailable at once, in percent. */
    readonly maxUnavailablePercent: number;
    /** Whether the VMs of this pool may be moved to other pools that need capacity. */
    readonly spare: boolean;
}
