/** What an operator may do with a wave. */
export enum WaveAction {
    Pause = "pause",
    Resume = "resume",
    Abort = "abort",
    /** Takes a VM that did not come back out of the wave. */
    GiveUp = "give-up",
}
