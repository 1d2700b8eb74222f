/** An order about one run. */
export interface RunOrder {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly fencingToken: number;
}
