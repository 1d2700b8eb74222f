import type { RefusalReason } from "../outcomes/refusal-reason.js";

/** A refusal of a request that was certainly not run. */
export interface Refusal {
    readonly reason: RefusalReason;
    /** When asking again may help, milliseconds from now. */
    readonly retryAfterMs?: number | undefined;
}
