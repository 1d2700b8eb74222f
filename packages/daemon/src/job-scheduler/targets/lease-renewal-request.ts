/** A request to renew the lease of all tasks on a target and to list them. */
export interface LeaseRenewalRequest {
    /** End of the lease on the target's clock, milliseconds; `undefined` lists the tasks without renewing the lease. */
    readonly leaseUntilMs: number | undefined;
    readonly fencingToken: number;
    /** Number of the last ended run that is committed; the target may delete ended runs up to this number. */
    readonly lastSeen: number;
    /** Longest time for which the target may delay the response until a run ends, whole milliseconds. */
    readonly waitMs: number;
    /**
     * Whether a response that lists ended runs may leave out the running tasks, which the leader has read recently. It is a
     * permission; absent in requests of earlier versions.
     */
    readonly mayOmitRunning?: boolean;
}
