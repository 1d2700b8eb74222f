/** One run of a task. */
export interface TaskRun {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
}
