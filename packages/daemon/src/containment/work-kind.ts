/** Kinds of work that is done for one target, call, VM or peer, and whose faults cost only that. */
export enum WorkKind {
    /** The session with a target: lease renewals and what follows from them. */
    TargetSession = "target-session",
    /** A single request to a target. */
    TargetRequest = "target-request",
    /** The start or stop of one run. */
    TargetRun = "target-run",
    /** What the scheduler commits: starts of tasks, and that ended jobs are forgotten. */
    Placement = "placement",
    ReachabilityCheck = "reachability-check",
    VmList = "vm-list",
    VmMove = "vm-move",
    VmMaintenance = "vm-maintenance",
    Advice = "advice",
    /** A request to another process. */
    PeerCall = "peer-call",
    /** A request of another process. */
    PeerRequest = "peer-request",
    PeerChannel = "peer-channel",
    /** A request that a listener serves. */
    HttpRequest = "http-request",
    /** The duties that are handed over before a graceful stop. */
    Departure = "departure",
}
