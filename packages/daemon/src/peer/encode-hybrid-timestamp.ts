import type { HybridTimestamp } from "@daisylock/core/events/hybrid-timestamp.js";

/**
 * Encodes a hybrid timestamp for call metadata.
 * @param time - the timestamp
 * @returns text for `decodeHybridTimestamp`
 */
export function encodeHybridTimestamp(time: HybridTimestamp): string {
    return `${time.wallMs}.${time.counter}`;
}
