/** A hybrid logical clock timestamp: orders causally related events across processes and stays close to the wall clock. */
export interface HybridTimestamp {
    readonly wallMs: number;
    /** Orders events of the same millisecond. */
    readonly counter: number;
}
