/** Step of the maintenance of a VM in a wave. */
export enum VmStep {
    /** Not picked for draining yet. */
    Waiting = "waiting",
    /** Cordoned; its running requests are finishing. */
    Draining = "draining",
    /** The reboot was requested from the platform. */
    Rebooting = "rebooting",
    /** Rebooted and ready; monitored for `probationMs` before it counts as done. */
    Probation = "probation",
    Done = "done",
    /** Did not return to service in time, or failed on probation; unavailable until it returns or is given up. */
    Failed = "failed",
    /** Excluded from the wave, because an operator gave it up or it was removed from the tables. */
    GivenUp = "given-up",
}
