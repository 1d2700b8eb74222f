import type { Resources } from "../resources/resources.js";
import type { TargetRecord } from "../targets/target-record.js";

/** View of a target during one placement round. */
export interface PlacementTarget {
    readonly record: TargetRecord;
    /** Free capacity; decreases as the round places tasks. */
    free: Resources;
    /** Number of tasks that may still be started in this round; infinite while the target's circuit is closed. */
    startsLeft: number;
    /** Number of tasks that may be running there, by encoded step key. */
    readonly stepCounts: Map<string, number>;
    /** Whether long-running tasks that serve users (not fillers) may be running there. */
    hasServingTasks: boolean;
    /** Whether fillers, that is best-effort tasks, may be running there. */
    hasFillers: boolean;
    /** Number of runs there that are on probation. */
    recentRuns: number;
    /** Whether it is kept for a task that may crash it, so that no other task is started there. */
    isQuarantined: boolean;
}
