import type { QueueConfiguration } from "../configuration/queue-configuration.js";
import { readConfigurationIndex } from "../configuration/read-configuration-index.js";
import type { FleetState } from "../fleet/fleet-state.js";
import { isJobFinished } from "../jobs/is-job-finished.js";
import type { JobStep } from "../jobs/job-step.js";
import type { Job } from "../jobs/job.js";
import { isWithin } from "../resources/is-within.js";
import { readTargetsByPool } from "../targets/read-targets-by-pool.js";
import type { TargetRecord } from "../targets/target-record.js";
import { computeCriticalPath } from "./compute-critical-path.js";
import { computeDueTime } from "./compute-due-time.js";
import { computeRemainingWork } from "./compute-remaining-work.js";
import { computeShareExcesses } from "./compute-share-excesses.js";
import { computeUrgency } from "./compute-urgency.js";
import { listDueOccurrences } from "./list-due-occurrences.js";
import { listWaitingSteps } from "./list-waiting-steps.js";
import { readPool } from "./read-pool.js";
import type { StepCandidate } from "./step-candidate.js";
import { Urgency } from "./urgency.js";
import type { WorkEstimator } from "./work-estimator.js";

/**
 * Collects the steps that have tasks to start.
 * @param fleet - the fleet state
 * @param now - wall-clock time, milliseconds
 * @param estimator - estimates of durations and work
 * @param isMemoryFull - whether jobs under way may not begin further occurrences, which take memory
 * @returns the steps, in no particular order
 */
export function collectCandidates(
    fleet: FleetState,
    now: number,
    estimator: WorkEstimator,
    isMemoryFull = false,
): StepCandidate[] {
    const candidates: MarkedCandidate[] = [];
    let excesses: ShareExcesses | undefined;
    // Computed at the first waiting step, as most rounds under light load find none.
    const readExcesses = (): ShareExcesses => excesses ??= computeShareExcesses(fleet);
    const { configuration } = fleet;
    const queues = configuration === undefined ? undefined : readConfigurationIndex(configuration).queuesByName;
    for (const id of fleet.activeJobs) {
        const job = fleet.jobs.get(id);
        if (job !== undefined && !isJobFinished(job)) {
            const queue = queues?.get(job.queue);
            for (const occurrence of listDueOccurrences(job, now, isMemoryFull)) {
                addCandidates(candidates, { job, queue, occurrence, now, estimator, readExcesses });
            }
        }
    }
    updateLateBacklogs(fleet, candidates);
    return candidates;
}

/**
 * Marks the steps for whose pool late steps wait. A step that no target of the pool can run waits for ever, so it is no
 * sign of a backlog.
 */
function updateLateBacklogs({ targets }: FleetState, candidates: readonly MarkedCandidate[]): void {
    const latePools = new Set<string>();
    const targetsByPool = readTargetsByPool(targets);
    for (const step of candidates) {
        const pool = readPool(step);
        if (!latePools.has(pool) && computeUrgency(step) === Urgency.Late) {
            if (targetsByPool.get(pool)?.some(target => isRunnable(step.definition, target)) === true) {
                latePools.add(pool);
            }
        }
    }
    if (latePools.size > 0) {
        candidates.forEach(step => {
            step.isBacklogLate = latePools.has(readPool(step));
        });
    }
}

/** Tells whether an empty target could run a task of the step. */
function isRunnable({ needs, requiredLabel }: JobStep, { labels, capacity }: TargetRecord): boolean {
    return (requiredLabel === undefined || labels.includes(requiredLabel)) && isWithin(needs, capacity);
}

/** A candidate whose mark of a late backlog is set when all are collected. */
type MarkedCandidate = StepCandidate & { isBacklogLate: boolean };

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

function addCandidates(candidates: MarkedCandidate[], context: OccurrenceContext): void {
    const { job, queue, occurrence } = context;
    const waitingSteps = listWaitingSteps(job, occurrence);
    if (waitingSteps.length > 0) {
        const estimated = computeEstimate(context, computeDueTime(job, occurrence));
        for (const waitingStep of waitingSteps) {
            candidates.push({ job, queue, occurrence, ...waitingStep, isBacklogLate: false, ...estimated });
        }
    }
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
        shareExcess: readExcesses().get(readPool({ queue, job }))?.get(job.account) ?? 0,
        stepsDone,
    };
}
