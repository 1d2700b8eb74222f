import type { RefusalReason } from "../outcomes/refusal-reason.js";

/** The refusal of a request that was definitely not run. */
export interface Refusal {
    readonly reason: RefusalReason;
    /** Time after which a retry may succeed, milliseconds. */
    readonly retryAfterMs?: number | undefined;
}
