import type { ClaimOutcome } from "./claim-outcome.js";
import type { DispatchRecord } from "./dispatch-record.js";

/** The result of a claim of an unrepeatable request. */
export interface ClaimResult {
    readonly outcome: ClaimOutcome;
    /** The existing record when another attempt has claimed the request. */
    readonly record?: DispatchRecord | undefined;
}
