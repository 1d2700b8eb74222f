/** Why a request was certainly not run. */
export enum RefusalReason {
    /** The key is missing, unknown, revoked or of another team, or the route does not exist. */
    NotAuthorized = "not-authorized",
    MalformedRequest = "malformed-request",
    BodyTooLarge = "body-too-large",
    /** The route names a pool that does not exist. */
    PoolUnknown = "pool-unknown",
    /** No target of the pool can be reached. */
    NoTarget = "no-target",
    /** Could not start before its deadline. */
    Overloaded = "overloaded",
    QueueTimeout = "queue-timeout",
    /** Keys can't be checked because this entry is cut off from the keepers. */
    KeysNotFresh = "keys-not-fresh",
    /** An unrepeatable request can't be recorded because this entry is cut off from the keepers. */
    NotRecordable = "not-recordable",
    /** Another request was sent under the same id. */
    RequestIdReused = "request-id-reused",
    /** Every target that was tried certainly did not run it. */
    AttemptsFailed = "attempts-failed",
    Cancelled = "cancelled",
}
