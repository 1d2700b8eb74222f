import type { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";

/** An ended run, which a target lists until a lease renewal confirms that it is committed. */
export interface EndedRun {
    /** Increases by one with each ended run of one incarnation of the target. */
    readonly number: number;
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly how: RunOutcome;
    /** Latest checkpoint of the task; empty for none. */
    readonly saved: string;
}
