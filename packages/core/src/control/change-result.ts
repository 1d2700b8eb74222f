import type { EditFault } from "../tables/edit-fault.js";
import type { ChangeOutcome } from "./change-outcome.js";

/** The answer to a change of the tables. */
export interface ChangeResult {
    readonly outcome: ChangeOutcome;
    /** Revision of the tables that the change made, or that it met. */
    readonly revision: number;
    /** The accepted change that a refused one collided with. */
    readonly winner?: { readonly changeId: string; readonly object: string; readonly revision: number } | undefined;
    readonly faults?: readonly EditFault[] | undefined;
}
