/** The kinds of message to the keeper's goroutine. */
export enum KeeperEventKind {
    Tick = "tick",
    Messages = "messages",
    Command = "command",
    ChangeMembers = "members",
    /** Makes this keeper, whose disk is empty, the first member of a new cluster. */
    Bootstrap = "bootstrap",
    /** Makes a leader that is about to stop give up its leadership. */
    TransferLeadership = "hand-over",
}
