import type { TargetExclusion } from "./target-exclusion.js";

/** State of the targets of a pool, and of the runs recorded there whose start is not confirmed. */
export interface PoolTargetSummary {
    /** Number of targets on which tasks may be started. */
    readonly usable: number;
    /** Number of the other targets, by reason; contains every reason. */
    readonly excluded: Readonly<Record<TargetExclusion, number>>;
    /** Number of recorded runs whose start the target has not confirmed. */
    readonly unconfirmed: number;
    /** Number of unconfirmed runs for which no request is in flight. */
    readonly unsent: number;
    /** Age of the oldest unconfirmed run, milliseconds; 0 when there is none. */
    readonly oldestUnconfirmedMs: number;
}
