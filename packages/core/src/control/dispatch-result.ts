import type { DispatchOutcome } from "./dispatch-outcome.js";
import type { DispatchRecord } from "./dispatch-record.js";

/** The answer to a claim of an unrepeatable request. */
export interface DispatchResult {
    readonly outcome: DispatchOutcome;
    readonly record?: DispatchRecord | undefined;
}
