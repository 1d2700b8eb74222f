/** The kinds of log entry. */
export enum LogEntryKind {
    /** Appended by a new leader, which can commit entries of earlier terms only through one of its own term. */
    NoOp = 0,
    Command = 1,
    /** A new set of members, active as soon as it is appended, before it is committed. */
    Members = 2,
}
