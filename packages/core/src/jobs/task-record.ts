import type { TaskPhase } from "./task-phase.js";

/** One task of a step. */
export interface TaskRecord {
    phase: TaskPhase;
    /** Number of its newest start; 0 before the first. */
    run: number;
    /** Runs that ended as failed. */
    failures: number;
    /** Newest checkpoint that has been recorded; empty for none. */
    saved: string;
    /** Id of the target of the newest start. */
    target: string;
}
