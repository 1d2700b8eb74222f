import type { HybridTimestamp } from "@daisylock/core/events/hybrid-timestamp.js";

/** Hours by which a sender's clock may be ahead before its time is ignored. */
const maxClockSkewMs = 3_600_000;

/**
 * Decodes a hybrid time from metadata.
 * @param text - the text
 * @param wallMs - wall clock of the receiver, milliseconds
 * @returns the time, or `undefined` when it is malformed or too far ahead
 */
export function decodeHybridTimestamp(text: string, wallMs: number): HybridTimestamp | undefined {
    const match = /^(\d{1,15})\.(\d{1,9})$/.exec(text);
    if (match === null) {
        return undefined;
    }
    const time = { wallMs: Number(match[1]), counter: Number(match[2]) };
    return time.wallMs - wallMs > maxClockSkewMs ? undefined : time;
}
