import type { RunOutcome } from "./run-outcome.js";

/** The end of a run, as recorded before the target may forget it. */
export interface TaskEnd {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly target: string;
    readonly how: RunOutcome;
    /** Newest checkpoint; empty for none. */
    readonly saved: string;
}
