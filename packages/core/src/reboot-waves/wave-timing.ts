/** Times of maintenance, milliseconds. */
export interface WaveTiming {
    /** Time in which a VM has to come back after its reboot. */
    readonly returnTimeoutMs: number;
    /** Time for which a VM that came back is watched. */
    readonly probationMs: number;
}
