import type { FleetState } from "../fleet/fleet-state.js";
import { isJobFinished } from "../jobs/is-job-finished.js";
import { isStepReady } from "../jobs/is-step-ready.js";
import type { Job } from "../jobs/job.js";
import { TaskPhase } from "../jobs/task-phase.js";
import { computeCriticalPath } from "./compute-critical-path.js";
import { computeRemainingWork } from "./compute-remaining-work.js";
import { computeShareExcesses } from "./compute-share-excesses.js";
import type { StepCandidate } from "./step-candidate.js";
import type { WorkEstimator } from "./work-estimator.js";

/**
 * Collects the steps that have tasks to start.
 * @param fleet - the fleet state
 * @param now - wall-clock time, milliseconds
 * @param estimator - estimates of durations and work
 * @returns the steps, in no particular order
 */
export function collectCandidates(fleet: FleetState, now: number, estimator: WorkEstimator): StepCandidate[] {
    const candidates: StepCandidate[] = [];
    const excesses = computeShareExcesses(fleet);
    for (const id of fleet.activeJobs) {
        const job = fleet.jobs.get(id);
        if (job !== undefined && !isJobFinished(job)) {
            job.occurrences.forEach((_, occurrence) =>
                addCandidates(candidates, { fleet, job, occurrence, now, estimator, excesses })
            );
        }
    }
    return candidates;
}

interface OccurrenceContext {
    readonly fleet: FleetState;
    readonly job: Job;
    readonly occurrence: number;
    readonly now: number;
    readonly estimator: WorkEstimator;
    readonly excesses: ReadonlyMap<string, ReadonlyMap<string, number>>;
}

function addCandidates(candidates: StepCandidate[], context: OccurrenceContext): void {
    const { fleet, job, occurrence, now, estimator, excesses } = context;
    const { computeStepMs: estimate } = estimator;
    const dueAt = job.times > 0 ? job.startAtMs + occurrence * job.intervalMs : job.acceptedAtMs;
    if (job.times > 0 && now < dueAt) {
        return;
    }
    const queueConfiguration = fleet.configuration?.queues.find(({ name }) => name === job.queue);
    job.steps.forEach((definition, step) => {
        const tasks = job.occurrences[occurrence]?.[step]?.tasks ?? [];
        const waiting = tasks.flatMap((task, index) => task.phase === TaskPhase.Waiting ? [index] : []);
        if (waiting.length === 0 || !isStepReady(job, occurrence, step)) {
            return;
        }
        const remainingMs = computeCriticalPath(job, occurrence, estimate);
        const budgetMs = (queueConfiguration?.stretch ?? 1) * computeCriticalPath(job, undefined, estimate)
            + (queueConfiguration?.objectiveMs ?? 0);
        const slackMs = dueAt + budgetMs - now - remainingMs;
        const relativeWork = computeRemainingWork(job, occurrence, estimate) / estimator.readMeanJobWork(job);
        const stepsDone = (job.occurrences[occurrence] ?? []).filter((progress, position) =>
            progress.doneCount === job.steps[position]?.count
        ).length;
        candidates.push({
            job,
            queue: queueConfiguration,
            occurrence,
            step,
            definition,
            waiting,
            slackMs,
            remainingMs,
            relativeWork,
            shareExcess: excesses.get(queueConfiguration?.pool ?? job.pool)?.get(job.account) ?? 0,
            stepsDone,
        });
    });
}
