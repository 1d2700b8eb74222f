/** A hybrid logical time: orders events over processes by cause while it stays close to the wall clock. */
export interface HybridTimestamp {
    readonly wallMs: number;
    /** Orders events of the same millisecond. */
    readonly counter: number;
}
