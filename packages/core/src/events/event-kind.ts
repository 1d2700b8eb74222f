/** The kinds of event on the timeline of a cluster. */
export enum EventKind {
    ProcessStarted = "process-started",
    ProcessStopping = "process-stopping",
    /** A supervised component failed. */
    ChildFailed = "child-failed",
    ChildRestarted = "child-restarted",
    /** Work for one target, call, VM or peer ended by a fault. */
    WorkFailed = "work-failed",
    InvariantBroken = "invariant-broken",
    /** The keeper that records the event became leader. */
    LeaderElected = "leader-elected",
    /** The keeper that records the event is no longer leader. */
    LeaderLost = "leader-lost",
    MembersChanged = "members-changed",
    SnapshotSaved = "snapshot-saved",
    /** A snapshot that another keeper sent did not match its checksum; it is requested again. */
    SnapshotDamaged = "snapshot-damaged",
    /** A change of the tables was committed. */
    ChangeCommitted = "change-committed",
    /** An entry (an ingress process) applied a newer revision of the tables. */
    TablesApplied = "tables-applied",
    /** The tables of an entry became too old to verify keys against them. */
    FreshnessLost = "freshness-lost",
    FreshnessRegained = "freshness-regained",
    /** The leader received the first report of an entry. */
    EntryJoined = "entry-joined",
    /** The leader removed an entry that stopped reporting. */
    EntryDropped = "entry-dropped",
    TargetReady = "target-ready",
    /** The target finishes its running requests and accepts no new ones. */
    TargetLeaving = "target-leaving",
    /** The lease of the target expired. */
    TargetGone = "target-gone",
    /** The target failed and receives no requests for a while (circuit open). */
    TargetEjected = "target-ejected",
    TargetRecovered = "target-recovered",
    /** A VM moved to the next step of its reboot wave. */
    WaveStep = "wave-step",
    /** The status of a reboot wave changed. */
    WaveStatus = "wave-status",
    /** The platform accepted the request to reboot a VM. */
    RebootConfirmed = "reboot-confirmed",
    RequestQueued = "request-queued",
    RequestDispatched = "request-dispatched",
    RequestRetried = "request-retried",
    RequestAnswered = "request-answered",
    RequestRefused = "request-refused",
    /** It is unknown whether the request ran. */
    RequestUnknown = "request-unknown",
    /** The slot of an abandoned request was released, as its target no longer runs the request. */
    AbandonedReleased = "abandoned-released",
}
