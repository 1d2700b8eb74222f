/** Why a request was refused; it certainly did not run. */
export enum RefusalReason {
    /** The key is missing, unknown, revoked or of another team, or the route does not exist. */
    NotAuthorized = "not-authorized",
    MalformedRequest = "malformed-request",
    BodyTooLarge = "body-too-large",
    /** The route names a pool that does not exist. */
    PoolUnknown = "pool-unknown",
    /** No target of the pool has slots for this entry, or the route changed while the request was queued. */
    NoTarget = "no-target",
    /** Refused on arrival: the queues are full, or the estimated wait exceeds the latest useful start. */
    Overloaded = "overloaded",
    /** The request was queued and did not start in time. */
    QueueTimeout = "queue-timeout",
    /**
     * Keys cannot be verified, as this entry is partitioned from the keepers and its copy of the tables is outdated, or
     * as it has not received the tables yet.
     */
    KeysNotFresh = "keys-not-fresh",
    /** An unrepeatable request cannot be recorded, as the maximum number of records is reached. */
    NotRecordable = "not-recordable",
    /** A different request was sent with the same request id. */
    RequestIdReused = "request-id-reused",
    /** All attempts failed, and none of the targets ran the request. */
    AttemptsFailed = "attempts-failed",
    /** The client disconnected before the request was dispatched, or its body did not arrive in full. */
    Cancelled = "cancelled",
}
