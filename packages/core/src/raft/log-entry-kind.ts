/** What a log entry carries. */
export enum LogEntryKind {
    /** Begins a term. */
    NoOp = 0,
    Command = 1,
    /** A new set of members, in force as soon as it is in the log. */
    Members = 2,
}
