import type { EndedRun } from "./ended-run.js";
import type { RunningTask } from "./running-task.js";
import type { TargetResponse } from "./target-response.js";

/** A target's answer to a lease renewal. */
export interface LeaseRenewalResponse extends TargetResponse {
    /** Start of this life of the target, milliseconds since 1970; absent where it gave none. */
    readonly incarnation: number | undefined;
    readonly running: readonly RunningTask[];
    readonly ended: readonly EndedRun[];
}
