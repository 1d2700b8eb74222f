/** Outcome of starting a reboot wave. */
export enum StartWaveOutcome {
    Started = "started",
    /** Another wave that has not ended includes some of the VMs. */
    Overlap = "overlap",
    /** The tables do not contain some of the VMs. */
    UnknownVm = "unknown-vm",
}
