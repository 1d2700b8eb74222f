/** A task that a target reports as running. */
export interface RunningTask {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    /** Latest checkpoint of the task; empty for none. */
    readonly saved: string;
    /** Progress from 0 to 100. */
    readonly percent: number;
    /** Tail latency in milliseconds for a serving task; CPU in use in millicores for any other task. */
    readonly load: number;
}
