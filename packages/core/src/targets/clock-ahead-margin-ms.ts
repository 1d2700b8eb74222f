/**
 * Time by which the clock in a heartbeat may be ahead of what the answers of the target bear out, milliseconds: an answer
 * may have waited in a suspended process.
 */
export const clockAheadMarginMs = 1_000;
