/** What a target's response says of a run that is recorded on it. */
export enum RunListing {
    Running = "running",
    Ended = "ended",
    /** The target neither runs it nor has an end of it to report. */
    Missing = "missing",
    /** The response holds only a part of the ends, and that of the run may be among the others. */
    Unknown = "unknown",
}
