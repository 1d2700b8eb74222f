/** Timeouts of maintenance, milliseconds. */
export interface WaveTiming {
    /** Time within which a VM has to be ready again after the reboot was requested. */
    readonly returnTimeoutMs: number;
    /** Time for which a rebooted VM is monitored before it counts as done. */
    readonly probationMs: number;
}
