import type { QueueConfiguration } from "../configuration/queue-configuration.js";
import type { FleetState } from "../fleet/fleet-state.js";
import { countOccurrences } from "../jobs/count-occurrences.js";
import { isJobFinished } from "../jobs/is-job-finished.js";
import { isStepReady } from "../jobs/is-step-ready.js";
import type { Job } from "../jobs/job.js";
import { TaskPhase } from "../jobs/task-phase.js";
import { computeCriticalPath } from "./compute-critical-path.js";
import { computeRemainingWork } from "./compute-remaining-work.js";
import { computeShareExcesses } from "./compute-share-excesses.js";
import type { StepCandidate } from "./step-candidate.js";
import type { WorkEstimator } from "./work-estimator.js";

/** Number of occurrences of a job that may begin in one round, so that a round does not grow with those that are overdue. */
const maxNewOccurrences = 16;

/**
 * Collects the steps that have tasks to start.
 * @param fleet - the fleet state
 * @param now - wall-clock time, milliseconds
 * @param estimator - estimates of durations and work
 * @returns the steps, in no particular order
 */
export function collectCandidates(fleet: FleetState, now: number, estimator: WorkEstimator): StepCandidate[] {
    const candidates: StepCandidate[] = [];
    let excesses: ShareExcesses | undefined;
    // Computed at the first waiting step, as most rounds under light load find none.
    const readExcesses = (): ShareExcesses => excesses ??= computeShareExcesses(fleet);
    const queues = new Map(fleet.configuration?.queues.map(queue => [queue.name, queue]));
    for (const id of fleet.activeJobs) {
        const job = fleet.jobs.get(id);
        if (job !== undefined && !isJobFinished(job)) {
            const queue = queues.get(job.queue);
            for (const occurrence of listDueOccurrences(job, now)) {
                addCandidates(candidates, { job, queue, occurrence, now, estimator, readExcesses });
            }
        }
    }
    return candidates;
}

type ShareExcesses = ReturnType<typeof computeShareExcesses>;

interface OccurrenceContext {
    readonly job: Job;
    readonly queue: QueueConfiguration | undefined;
    readonly occurrence: number;
    readonly now: number;
    readonly estimator: WorkEstimator;
    readonly readExcesses: () => ShareExcesses;
}

type OccurrenceEstimate = Pick<
    StepCandidate,
    "slackMs" | "remainingMs" | "relativeWork" | "shareExcess" | "stepsDone"
>;

function addCandidates(candidates: StepCandidate[], context: OccurrenceContext): void {
    const { job, queue, occurrence } = context;
    const dueAt = computeDueTime(job, occurrence);
    let estimated: OccurrenceEstimate | undefined;
    job.steps.forEach((definition, step) => {
        const waiting = listWaitingTasks(job, occurrence, step);
        if (waiting.length > 0) {
            estimated ??= computeEstimate(context, dueAt);
            candidates.push({ job, queue, occurrence, step, definition, waiting, ...estimated });
        }
    });
}

/** Lists the occurrences that have begun and are not done, and the next ones that are due. */
function listDueOccurrences(job: Job, now: number): readonly number[] {
    const occurrences = [...job.occurrences.keys()];
    const end = Math.min(countOccurrences(job), job.begunCount + maxNewOccurrences);
    for (let occurrence = job.begunCount; occurrence < end; occurrence++) {
        if (job.times > 0 && now < computeDueTime(job, occurrence)) {
            break;
        }
        occurrences.push(occurrence);
    }
    return occurrences;
}

function computeDueTime(job: Job, occurrence: number): number {
    return job.times > 0 ? job.startAtMs + occurrence * job.intervalMs : job.acceptedAtMs;
}

/** Lists the indexes of the tasks of a step that may start now. */
function listWaitingTasks(job: Job, occurrence: number, step: number): number[] {
    const waiting: number[] = [];
    const progress = job.occurrences.get(occurrence)?.[step];
    if (progress === undefined) {
        const definition = job.steps[step];
        return definition?.after.length === 0 ? Array.from({ length: definition.count }, (_, index) => index) : waiting;
    }
    if (progress.doneCount === progress.tasks.length) {
        return waiting;
    }
    // Called for each step of each active job in every round; most tasks are running.
    for (let index = 0; index < progress.tasks.length; index++) {
        if (progress.tasks[index]?.phase === TaskPhase.Waiting) {
            waiting.push(index);
        }
    }
    return waiting.length > 0 && !isStepReady(job, occurrence, step) ? [] : waiting;
}

/** Computes what decides on the order of steps; it is the same for all steps of an occurrence. */
function computeEstimate(
    { job, queue, occurrence, now, estimator, readExcesses }: OccurrenceContext,
    dueAt: number,
): OccurrenceEstimate {
    const { computeStepMs: estimate } = estimator;
    const remainingMs = computeCriticalPath(job, occurrence, estimate);
    const budgetMs = (queue?.stretch ?? 1) * computeCriticalPath(job, undefined, estimate) + (queue?.objectiveMs ?? 0);
    const stepsDone =
        (job.occurrences.get(occurrence) ?? []).filter((progress, position) =>
            progress.doneCount === job.steps[position]?.count
        ).length;
    return {
        slackMs: dueAt + budgetMs - now - remainingMs,
        remainingMs,
        relativeWork: computeRemainingWork(job, occurrence, estimate) / estimator.readMeanJobWork(job),
        shareExcess: readExcesses().get(queue?.pool ?? job.pool)?.get(job.account) ?? 0,
        stepsDone,
    };
}
