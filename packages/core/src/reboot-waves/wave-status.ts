/** Status of a wave. */
export enum WaveStatus {
    Running = "running",
    /** No further VMs are drained; started maintenance is completed. */
    Paused = "paused",
    /** Ended by an operator. No further VMs are drained; started maintenance is completed. */
    Aborted = "aborted",
    Done = "done",
}
