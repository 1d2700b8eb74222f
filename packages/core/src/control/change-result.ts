import type { EditFault } from "../tables/edit-fault.js";
import type { ChangeOutcome } from "./change-outcome.js";

/** The result of a change of the tables. */
export interface ChangeResult {
    readonly outcome: ChangeOutcome;
    /** Revision of the tables after an accepted change; the current one for a refused change. */
    readonly revision: number;
    /**
     * The accepted change that the refused one conflicts with, the object that both change (`KIND/NAME`, or `tables`
     * for an outdated base revision) and the revision of that object. The change id is empty when it is no longer
     * stored.
     */
    readonly winner?: { readonly changeId: string; readonly object: string; readonly revision: number } | undefined;
    /** Validation errors of an invalid change. */
    readonly faults?: readonly EditFault[] | undefined;
}
