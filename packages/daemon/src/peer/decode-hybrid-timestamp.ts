import type { HybridTimestamp } from "@daisylock/core/events/hybrid-timestamp.js";

/** Maximum lead of a sender's clock over the local wall clock, milliseconds. Timestamps further ahead are ignored. */
const maxClockSkewMs = 3_600_000;

/**
 * Decodes a hybrid timestamp from call metadata.
 * @param text - text written by `encodeHybridTimestamp`
 * @param wallMs - wall clock of the receiver, milliseconds
 * @returns the timestamp, or `undefined` if it is malformed or too far ahead
 */
export function decodeHybridTimestamp(text: string, wallMs: number): HybridTimestamp | undefined {
    const match = /^(\d{1,15})\.(\d{1,9})$/.exec(text);
    if (match === null) {
        return undefined;
    }
    const time = { wallMs: Number(match[1]), counter: Number(match[2]) };
    return time.wallMs - wallMs > maxClockSkewMs ? undefined : time;
}
