import type { EndedRun } from "./ended-run.js";
import type { RunningTask } from "./running-task.js";
import type { TargetResponse } from "./target-response.js";

/** A target's response to a lease renewal. */
export interface LeaseRenewalResponse extends TargetResponse {
    /** Start of this incarnation of the target, milliseconds since 1970; `undefined` if the target reported none. */
    readonly incarnation: number | undefined;
    /** `undefined` when the request allowed to leave them out. */
    readonly running: readonly RunningTask[] | undefined;
    readonly ended: readonly EndedRun[];
    /** Whether `ended` holds all ends after the last committed one; a target lists a limited number at a time. */
    readonly areAllEndsListed: boolean;
}
