/** Actions that an operator may take on a reboot wave. */
export enum WaveAction {
    Pause = "pause",
    Resume = "resume",
    Abort = "abort",
    /** Removes from the wave a VM that did not become ready after its reboot. */
    GiveUp = "give-up",
}
