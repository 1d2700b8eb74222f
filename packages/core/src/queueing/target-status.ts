import type { TargetExclusion } from "./target-exclusion.js";
import type { UnconfirmedRun } from "./unconfirmed-run.js";

/** What the leader knows of a target beyond the replicated state. */
export interface TargetStatus {
    /** Why no task may be started there; `undefined` when tasks may be started. */
    readonly exclusion: TargetExclusion | undefined;
    readonly unconfirmedRuns: readonly UnconfirmedRun[];
}
