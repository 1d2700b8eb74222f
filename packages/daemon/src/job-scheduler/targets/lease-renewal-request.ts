/** An order to renew the lease of everything on a target, and to list it. */
export interface LeaseRenewalRequest {
    /** On the target's clock; `undefined` to look only. */
    readonly leaseUntilMs: number | undefined;
    readonly fencingToken: number;
    /** Ends up to this number may be forgotten. */
    readonly lastSeen: number;
    /** Longest time for which the answer may wait for an end, whole milliseconds. */
    readonly waitMs: number;
}
