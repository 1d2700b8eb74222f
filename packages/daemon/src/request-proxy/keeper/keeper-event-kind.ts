/** Kinds of event that the keeper's goroutine handles. */
export enum KeeperEventKind {
    Tick = "tick",
    Messages = "messages",
    Command = "command",
    ChangeMembers = "members",
    /** Makes this keeper, whose storage is empty, the first member of a new cluster. */
    Bootstrap = "bootstrap",
    /** Transfers the leadership of a leader that is about to stop. */
    TransferLeadership = "hand-over",
    /** A write to disk has ended. */
    Written = "written",
    /** Commands that waited may be proposed. */
    ProposalsDue = "proposals-due",
}
