import type { Resources } from "../resources/resources.js";

/** Tasks that may be running on one target. */
export interface TargetLoad {
    /** Resources that the tasks reserve. */
    used: Resources;
    /** Thousandths of a core that the serving tasks need. */
    servingCpu: number;
    /** Number of serving tasks, that is long-running tasks that are not fillers. */
    servingCount: number;
    /** Number of fillers, that is best-effort tasks. */
    fillerCount: number;
    /** Run number by encoded task key. */
    readonly runs: Map<string, number>;
    /** Number of tasks by encoded step key; a step without tasks on the target has no entry. */
    readonly stepCounts: Map<string, number>;
}
