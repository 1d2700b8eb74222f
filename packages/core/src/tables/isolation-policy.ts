/** What a zone without a fresh view of the keys does with a team's keyed requests. */
export enum IsolationPolicy {
    /** Refuses them, so that a revoked key stops working within the freshness bound. */
    Refuse = "refuse",
    /** Serves them by the last known keys. */
    Continue = "continue",
}
