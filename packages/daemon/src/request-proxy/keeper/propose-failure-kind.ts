/** Why a command was not confirmed as committed. */
export enum ProposeFailureKind {
    /** This keeper does not lead, or another leader replaced the log entry; the command is not committed. */
    NotLeader = "not-leader",
    /** The mailbox of the keeper is full; the command was not added to the log. */
    Busy = "busy",
    /** The command may or may not be committed. */
    Unknown = "unknown",
}
