/**
 * How an entry (an ingress process) whose copy of the keys is outdated, as in a partitioned availability zone, handles
 * a team's keyed requests.
 */
export enum IsolationPolicy {
    /** Refuses them, so that a revoked key stops working within the freshness bound. */
    Refuse = "refuse",
    /** Serves them based on the last known keys. */
    Continue = "continue",
}
