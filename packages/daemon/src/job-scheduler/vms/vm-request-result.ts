/** What became of an order about a VM. */
export enum VmRequestResult {
    Done = "done",
    /** A higher fencing token has been seen for this VM. */
    Fenced = "fenced",
    /** The VM is not up, or is leaving. */
    Busy = "busy",
    /** The VM is not of that wave. */
    NotOfWave = "not-of-wave",
    /** No such VM, or no such pool for it. */
    Unknown = "unknown",
    /** Too many calls. */
    Limited = "limited",
    /** The order may have been carried out. */
    Unanswered = "unanswered",
}
