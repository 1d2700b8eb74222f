import type { HybridTime } from "@daisylock/core/events/hybrid-time.js";

/**
 * Encodes a hybrid time for metadata.
 * @param time - the time
 * @returns text for decodeTime
 */
export function encodeTime(time: HybridTime): string {
    return `${time.wallMs}.${time.counter}`;
}
