/** How far the maintenance of a VM has come. */
export enum VmStep {
    Waiting = "waiting",
    /** Gets no new work; what it has is ending. */
    Draining = "draining",
    /** The platform was asked to reboot it. */
    Rebooting = "rebooting",
    /** It is back and serves; the wave watches it before it goes on. */
    Probation = "probation",
    Done = "done",
    /** It did not come back; it counts as unavailable until an operator gives it up. */
    Failed = "failed",
    GivenUp = "given-up",
}
