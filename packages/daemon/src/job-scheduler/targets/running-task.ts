/** A task that a target says it runs. */
export interface RunningTask {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly saved: string;
    /** Progress from 0 to 100. */
    readonly percent: number;
    /** Tail latency in milliseconds for a task with users, thousandths of a core in use for any other. */
    readonly load: number;
}
