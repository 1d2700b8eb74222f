import type { RunProgress } from "../crashes/run-progress.js";
import type { RunOutcome } from "./run-outcome.js";

/** The end of a run, recorded before the target may delete its own record of it. */
export interface TaskEnd {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly target: string;
    readonly how: RunOutcome;
    /** Newest checkpoint; empty if there is none. */
    readonly saved: string;
    /** How far the run had come, of one that ended with the lease of its target. */
    readonly progress?: RunProgress | undefined;
}
