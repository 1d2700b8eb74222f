/** Result of a request to the platform's VM service. */
export enum VmRequestResult {
    Done = "done",
    /** The service has already received a higher fencing token for this VM. */
    Fenced = "fenced",
    /** The VM is not up, or is leaving. */
    Busy = "busy",
    /** The VM does not belong to the given maintenance wave. */
    NotOfWave = "not-of-wave",
    /** The VM does not exist, or the pool does not exist for it. */
    Unknown = "unknown",
    /** The service rejected the request because of too many calls. */
    Limited = "limited",
    /** No response came; the request may have been carried out. */
    Unanswered = "unanswered",
}
