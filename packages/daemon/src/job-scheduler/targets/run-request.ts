/** A request about one run of a task. */
export interface RunRequest {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly fencingToken: number;
}
