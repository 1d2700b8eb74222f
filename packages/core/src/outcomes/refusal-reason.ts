/** Why a request was refused; it certainly did not run. */
export enum RefusalReason {
    /** The key is missing, unknown, revoked or of another team, or the route does not exist. */
    NotAuthorized = "not-authorized",
    MalformedRequest = "malformed-request",
    BodyTooLarge = "body-too-large",
    /** The route names a pool that does not exist. */
    PoolUnknown = "pool-unknown",
    /** No target of the pool is reachable. */
    NoTarget = "no-target",
    /** The request cannot start before its deadline. */
    Overloaded = "overloaded",
    QueueTimeout = "queue-timeout",
    /** Keys cannot be verified because this entry is partitioned from the keepers and its copy of the keys is outdated. */
    KeysNotFresh = "keys-not-fresh",
    /** An unrepeatable request cannot be recorded because this entry is partitioned from the keepers. */
    NotRecordable = "not-recordable",
    /** A different request was sent with the same request id. */
    RequestIdReused = "request-id-reused",
    /** All attempts failed, and none of the targets ran the request. */
    AttemptsFailed = "attempts-failed",
    Cancelled = "cancelled",
}
