import type { HybridTime } from "./hybrid-time.js";

/**
 * Computes the time of the next event of a process.
 * @param last - time of the process's last event
 * @param wallMs - wall clock now, milliseconds
 * @param received - time that came with a message, if the event is its receipt
 * @returns a time after both
 */
export function mergeHybridTime(last: HybridTime, wallMs: number, received?: HybridTime): HybridTime {
    const newest = received !== undefined && compareTimes(received, last) > 0 ? received : last;
    if (wallMs > newest.wallMs) {
        return { wallMs, counter: 0 };
    }
    return { wallMs: newest.wallMs, counter: newest.counter + 1 };
}

function compareTimes(a: HybridTime, b: HybridTime): number {
    return a.wallMs - b.wallMs || a.counter - b.counter;
}
