import type { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";

/** An end that a target lists until it is told to forget it. */
export interface EndedRun {
    /** Rises by one with each end of one life of the target. */
    readonly number: number;
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly how: RunOutcome;
    readonly saved: string;
}
