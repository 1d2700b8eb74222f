import type { HybridTimestamp } from "@daisylock/core/events/hybrid-timestamp.js";

/**
 * Encodes a hybrid time for metadata.
 * @param time - the time
 * @returns text for decodeTime
 */
export function encodeHybridTimestamp(time: HybridTimestamp): string {
    return `${time.wallMs}.${time.counter}`;
}
