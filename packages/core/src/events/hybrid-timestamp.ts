/** Timestamp of a hybrid logical clock: orders events across processes by cause and stays near the wall clock. */
export interface HybridTimestamp {
    /** Wall clock, milliseconds; may be ahead of the local wall clock after the receipt of a message. */
    readonly wallMs: number;
    /** Orders events of the same millisecond. */
    readonly counter: number;
}
