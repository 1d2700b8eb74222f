import { readConfigurationIndex } from "../configuration/read-configuration-index.js";
import type { ControlState } from "../control/control-state.js";
import type { SubmitJobCommand } from "../control/submit-job-command.js";
import { SubmitJobOutcome } from "../control/submit-job-outcome.js";
import { updateJobBytes } from "../fleet/update-job-bytes.js";
import { JobPhase } from "./job-phase.js";

/**
 * Accepts a job. Submission is idempotent: a known id from the same account on the same queue is the same job.
 * @param state - the replicated state
 * @param command - the command
 * @returns whether the job was accepted, now or earlier, or why not
 */
export function applySubmitJob({ fleet }: ControlState, command: SubmitJobCommand): SubmitJobOutcome {
    const { id, queue, account, request, atMs } = command;
    const existing = fleet.jobs.get(id);
    if (existing !== undefined) {
        return existing.queue === queue && existing.account === account
            ? SubmitJobOutcome.AlreadyAccepted
            : SubmitJobOutcome.IdInUse;
    }
    const queueConfiguration = fleet.configuration === undefined
        ? undefined
        : readConfigurationIndex(fleet.configuration).queuesByName.get(queue);
    if (queueConfiguration === undefined) {
        return SubmitJobOutcome.UnknownQueue;
    }
    fleet.jobs.set(id, {
        id,
        queue,
        pool: queueConfiguration.pool,
        account,
        maxAttempts: queueConfiguration.maxAttempts,
        spec: request.spec,
        steps: request.steps,
        times: request.times,
        startAtMs: request.startAtMs,
        intervalMs: request.intervalMs,
        acceptedAtMs: atMs,
        phase: JobPhase.Queued,
        endedAtMs: 0,
        placedCount: 0,
        begunCount: 0,
        occurrences: new Map(),
    });
    fleet.activeJobs.add(id);
    updateJobBytes(fleet, id, account);
    return SubmitJobOutcome.Accepted;
}
