import type { ControlState } from "../control/control-state.js";
import type { SubmitJobCommand } from "../control/submit-job-command.js";
import { SubmitJobOutcome } from "../control/submit-job-outcome.js";
import { JobPhase } from "./job-phase.js";
import type { JobRequest } from "./job-request.js";
import type { StepProgress } from "./step-progress.js";
import { TaskPhase } from "./task-phase.js";
import type { TaskRecord } from "./task-record.js";

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
    const queueConfiguration = fleet.configuration?.queues.find(({ name }) => name === queue);
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
        occurrences: Array.from({ length: Math.max(1, request.times) }, () => createStepProgress(request)),
    });
    fleet.activeJobs.add(id);
    return SubmitJobOutcome.Accepted;
}

function createStepProgress(request: JobRequest): StepProgress[] {
    return request.steps.map(step => ({ doneCount: 0, tasks: Array.from({ length: step.count }, createTask) }));
}

function createTask(): TaskRecord {
    return { phase: TaskPhase.Waiting, run: 0, failures: 0, saved: "", target: "" };
}
