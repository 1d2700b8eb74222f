/** A start of a task that is recorded before its order is sent. */
export interface TaskStart {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly target: string;
}
