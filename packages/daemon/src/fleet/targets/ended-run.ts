import type { RunEnd } from "@daisylock/core/jobs/run-end.js";

/** An end that a target lists until it is told to forget it. */
export interface EndedRun {
    /** Rises by one with each end of one life of the target. */
    readonly number: number;
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly how: RunEnd;
    readonly saved: string;
}
