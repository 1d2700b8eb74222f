/** What a wave is doing. */
export enum WaveStatus {
    Running = "running",
    /** Nothing new is started; what was started is finished. */
    Paused = "paused",
    Aborted = "aborted",
    Done = "done",
}
