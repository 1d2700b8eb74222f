/** Why a command was not confirmed as committed. */
export enum ProposeFailureKind {
    /** This keeper does not lead; the command was not taken. */
    NotLeader = "not-leader",
    /** Too many commands wait; the command was not taken. */
    Busy = "busy",
    /** The command may or may not be committed. */
    Unknown = "unknown",
}
