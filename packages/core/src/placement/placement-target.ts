import type { Resources } from "../resources/resources.js";
import type { TargetRecord } from "../targets/target-record.js";

/** A target as the placement of one round sees it. */
export interface PlacementTarget {
    readonly record: TargetRecord;
    /** What is left of its capacity; falls as the round places tasks. */
    free: Resources;
    /** Tasks that may still be started in this round; no bound for a target in good standing. */
    startsLeft: number;
    /** Tasks that may be running there, by step. */
    readonly stepCounts: Map<string, number>;
    /** Whether long-running tasks with users of their own are there. */
    hasServingTasks: boolean;
    /** Whether fillers are there. */
    hasFillers: boolean;
}
