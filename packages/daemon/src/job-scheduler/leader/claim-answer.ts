import type { ClaimOutcome } from "./claim-outcome.js";

/** Answer to the question whether a target incarnation is at an address. */
export interface ClaimAnswer {
    readonly outcome: ClaimOutcome;
    /** Reading of the clock of the target that answered, milliseconds; `undefined` if it stated none. */
    readonly clockMs: number | undefined;
}
