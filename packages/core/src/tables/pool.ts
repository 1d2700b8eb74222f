/** A named set of VMs that serve the same work. */
export interface Pool {
    /** Largest part of the pool's VMs that may be unavailable at once, in percent. */
    readonly maxUnavailablePercent: number;
    /** Whether this pool lends its VMs to others. */
    readonly spare: boolean;
}
