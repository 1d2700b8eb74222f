/** Status of a wave. */
export enum WaveStatus {
    Running = "running",
    /** No further VMs are drained; started maintenance is completed. */
    Paused = "paused",
    Aborted = "aborted",
    Done = "done",
}
