import type { ClaimOutcome } from "./claim-outcome.js";
import type { DispatchRecord } from "./dispatch-record.js";

/** The answer to a claim of an unrepeatable request. */
export interface ClaimResult {
    readonly outcome: ClaimOutcome;
    readonly record?: DispatchRecord | undefined;
}
