/** Exit codes of the command line. */
export enum ExitCode {
    Done = 0,
    /** The request was refused. */
    Refused = 1,
    Usage = 2,
    /** Another operator's change was accepted first. */
    Conflict = 3,
    /** There was no response, or the process could not handle the request at present. */
    Unreachable = 4,
}
