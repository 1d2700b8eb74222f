/** A named set of VMs that serve the same requests and tasks. */
export interface Pool {
    /**
     * Disruption budget: largest percentage of the pool's VMs that may be unavailable at once. A value above 0 allows
     * at least one VM in a pool of two or more.
     */
    readonly maxUnavailablePercent: number;
    /** Whether the VMs of this pool may be moved to other pools that need capacity. */
    readonly spare: boolean;
}
