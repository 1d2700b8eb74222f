import type { HybridTimestamp } from "./hybrid-timestamp.js";

/**
 * Computes the time of the next event of a process.
 * @param last - time of the process's last event
 * @param wallMs - wall clock now, milliseconds
 * @param received - time that came with a message, if the event is its receipt
 * @returns a time after both
 */
export function computeNextTimestamp(
    last: HybridTimestamp,
    wallMs: number,
    received?: HybridTimestamp,
): HybridTimestamp {
    const newest = received !== undefined && compareTimes(received, last) > 0 ? received : last;
    if (wallMs > newest.wallMs) {
        return { wallMs, counter: 0 };
    }
    return { wallMs: newest.wallMs, counter: newest.counter + 1 };
}

function compareTimes(a: HybridTimestamp, b: HybridTimestamp): number {
    return a.wallMs - b.wallMs || a.counter - b.counter;
}
