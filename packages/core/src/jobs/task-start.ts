/** A start of a task, recorded before the request is sent to the target. */
export interface TaskStart {
    /** Encoded task key. */
    readonly task: string;
    /** Number of the run, higher than that of every earlier run of the task. */
    readonly run: number;
    readonly target: string;
}
