import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import type { SubmitJobOutcome } from "../control/submit-job-outcome.js";
import { applySubmitJob } from "../jobs/apply-submit-job.js";
import type { JobStep } from "../jobs/job-step.js";

/**
 * Submits a job for tests.
 * @param state - the replicated state
 * @param id - id of the job
 * @param steps - its steps
 * @param atMs - wall clock, milliseconds
 * @returns the outcome of the submission
 */
export function addTestJob(
    state: ControlState,
    id: string,
    steps: readonly JobStep[],
    atMs = 0,
): SubmitJobOutcome {
    const request = { spec: "spec", steps, times: 0, startAtMs: 0, intervalMs: 0 };
    return applySubmitJob(state, {
        kind: CommandKind.SubmitJob,
        id,
        queue: "q-web",
        account: "team",
        request,
        atMs,
    });
}
