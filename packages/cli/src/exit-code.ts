/** Exit codes of the command line. */
export enum ExitCode {
    Done = 0,
    /** The system refused the command. */
    Refused = 1,
    Usage = 2,
    /** Another operator's change was accepted first. */
    Conflict = 3,
    /** No process of the system answered. */
    Unreachable = 4,
}
