import type { HybridTimestamp } from "./hybrid-timestamp.js";

/**
 * Computes the hybrid logical time of the next event of a process.
 * @param last - time of the last event of the process
 * @param wallMs - wall clock now, milliseconds
 * @param received - time carried by a message, if the event is its receipt
 * @returns a time after both `last` and `received`
 */
export function computeNextTimestamp(
    last: HybridTimestamp,
    wallMs: number,
    received?: HybridTimestamp,
): HybridTimestamp {
    const latest = received !== undefined && compareTimes(received, last) > 0 ? received : last;
    if (wallMs > latest.wallMs) {
        return { wallMs, counter: 0 };
    }
    return { wallMs: latest.wallMs, counter: latest.counter + 1 };
}

function compareTimes(a: HybridTimestamp, b: HybridTimestamp): number {
    return a.wallMs - b.wallMs || a.counter - b.counter;
}
