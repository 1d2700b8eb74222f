/** Every metric that the daemon emits. */
export enum MetricName {
    RequestsAnswered = "requests.answered",
    RequestsRefused = "requests.refused",
    RequestsUnknown = "requests.unknown",
    RequestsRetried = "requests.retried",
    RequestWait = "requests.wait",
    RequestDuration = "requests.duration",
    WaitingRequests = "entry.waiting",
    AbandonedRequests = "entry.abandoned",
    FreshnessAge = "entry.freshness_age",
    TableRevision = "entry.revision",
    LogCommits = "keeper.commits",
    LogSync = "keeper.sync",
    LogTerm = "keeper.term",
    InvariantsBroken = "invariants.broken",
    ChildRestarts = "supervisor.restarts",
}
