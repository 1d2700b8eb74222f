/** What became of the start of a wave. */
export enum StartWaveOutcome {
    Started = "started",
    /** Another wave has some of the VMs. */
    Overlap = "overlap",
    UnknownVm = "unknown-vm",
}
