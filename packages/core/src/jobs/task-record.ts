import type { CrashHistory } from "../crashes/crash-history.js";
import type { TaskPhase } from "./task-phase.js";

/** Recorded state of one task of a step. */
export interface TaskRecord {
    phase: TaskPhase;
    /** Number of the newest run; 0 before the first start. */
    run: number;
    /** Number of failed runs. */
    failures: number;
    /** Newest recorded checkpoint; empty if there is none. */
    saved: string;
    /** Id of the target of the newest run; empty before the first start. */
    target: string;
    /** Crashes of targets under its runs; `undefined` if there are none. */
    crashes?: CrashHistory | undefined;
}
