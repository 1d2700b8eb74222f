/** An order about one run. */
export interface RunRequest {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly fencingToken: number;
}
