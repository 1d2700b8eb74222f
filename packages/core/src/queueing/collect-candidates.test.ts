import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import type { FleetState } from "../fleet/fleet-state.js";
import { isJobFinished } from "../jobs/is-job-finished.js";
import { isStepReady } from "../jobs/is-step-ready.js";
import type { Job } from "../jobs/job.js";
import { TaskPhase } from "../jobs/task-phase.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { runRandomFleet } from "../testing/run-random-fleet.js";
import { collectCandidates } from "./collect-candidates.js";
import { compareCandidates } from "./compare-candidates.js";
import { computeCriticalPath } from "./compute-critical-path.js";
import { computeRemainingWork } from "./compute-remaining-work.js";
import { computeShareExcesses } from "./compute-share-excesses.js";
import type { StepCandidate } from "./step-candidate.js";
import type { WorkEstimator } from "./work-estimator.js";

/** Sums the CPU of the running tasks of unfinished jobs without long-running steps by pool and account. */
function collectUsedCpu(fleet: FleetState): Map<string, Map<string, number>> {
    const usedByPool = new Map<string, Map<string, number>>();
    const jobs = [...fleet.jobs.values()].filter(job =>
        fleet.activeJobs.has(job.id) && !isJobFinished(job) && !job.steps.some(step => step.isLongRunning)
    );
    for (const job of jobs) {
        const pool = fleet.configuration?.queues.find(({ name }) => name === job.queue)?.pool ?? job.pool;
        const cpus = [...job.occurrences.values()].flatMap(steps =>
            steps.flatMap(({ tasks }, step) =>
                tasks.map(({ phase }) => phase === TaskPhase.Placed ? job.steps[step]?.needs.cpu ?? 0 : 0)
            )
        );
        const usedByAccount = usedByPool.get(pool) ?? new Map<string, number>();
        const used = cpus.reduce((sum, cpu) => sum + cpu, usedByAccount.get(job.account) ?? 0);
        usedByPool.set(pool, usedByAccount.set(job.account, used));
    }
    return usedByPool;
}

function computeExcess(fleet: FleetState, used: ReadonlyMap<string, number>, account: string): number {
    const findWeight = (name: string): number =>
        Math.max(1, fleet.configuration?.accounts.find(other => other.name === name)?.weight ?? 1);
    const totalUsed = [...used.values()].reduce((sum, cpu) => sum + cpu, 0);
    const totalWeight = [...used.keys()].reduce((sum, name) => sum + findWeight(name), 0);
    const share = totalUsed * findWeight(account) / totalWeight;
    return share === 0 ? 0 : Math.max(0, (used.get(account) ?? 0) / share - 1);
}

/** Collects the candidates step by step, with each value computed anew from the state. */
function collectCandidatesPerStep(fleet: FleetState, now: number, estimator: WorkEstimator): StepCandidate[] {
    const jobs = [...fleet.activeJobs].flatMap(id => fleet.jobs.get(id) ?? []).filter(job => !isJobFinished(job));
    const candidates = jobs.flatMap(job =>
        Array.from({ length: Math.max(1, job.times) }).flatMap((_, occurrence) =>
            job.steps.flatMap((__, step) => buildCandidate(fleet, now, estimator, { job, occurrence, step }))
        )
    );
    const isLate = ({ definition, slackMs, remainingMs }: StepCandidate): boolean =>
        !definition.isLongRunning && slackMs < -0.3 * remainingMs;
    const readPool = ({ queue, job }: StepCandidate): string => queue?.pool ?? job.pool;
    const isRunnable = ({ definition: { needs, requiredLabel = "" }, ...step }: StepCandidate): boolean =>
        [...fleet.targets.values()].some(({ pool, labels, capacity }) =>
            pool === readPool(step as StepCandidate) && (requiredLabel === "" || labels.includes(requiredLabel))
            && needs.cpu <= capacity.cpu && needs.memory <= capacity.memory && needs.gpu <= capacity.gpu
        );
    return candidates.map(step => ({
        ...step,
        isBacklogLate: candidates.some(other =>
            isLate(other) && isRunnable(other) && readPool(other) === readPool(step)
        ),
    }));
}

function buildCandidate(
    fleet: FleetState,
    now: number,
    { computeStepMs, readMeanJobWork }: WorkEstimator,
    { job, occurrence, step }: { readonly job: Job; readonly occurrence: number; readonly step: number },
): StepCandidate[] {
    const queue = fleet.configuration?.queues.find(({ name }) => name === job.queue);
    const definition = job.steps[step];
    const progress = job.occurrences.get(occurrence) ?? [];
    const hasBegun = occurrence < job.begunCount;
    const waiting = Array.from({ length: definition?.count ?? 0 }).flatMap((_, index) =>
        !hasBegun || progress[step]?.tasks[index]?.phase === TaskPhase.Waiting ? [index] : []
    );
    const dueAt = job.times > 0 ? job.startAtMs + occurrence * job.intervalMs : job.acceptedAtMs;
    const isDue = job.times === 0 || now >= dueAt;
    if (definition === undefined || waiting.length === 0 || !isDue || !isStepReady(job, occurrence, step)) {
        return [];
    }
    const remainingMs = computeCriticalPath(job, occurrence, computeStepMs);
    const budgetMs = (queue?.stretch ?? 1) * computeCriticalPath(job, undefined, computeStepMs)
        + (queue?.objectiveMs ?? 0);
    const isCounted = !job.steps.some(({ isLongRunning }) => isLongRunning);
    const used = collectUsedCpu(fleet).get(queue?.pool ?? job.pool);
    return [{
        job,
        queue,
        occurrence,
        step,
        definition,
        waiting,
        slackMs: dueAt + budgetMs - now - remainingMs,
        remainingMs,
        relativeWork: computeRemainingWork(job, occurrence, computeStepMs) / readMeanJobWork(job),
        isBacklogLate: false,
        // A job that is not counted itself has the excess of its account's other jobs in the pool, if any.
        shareExcess: used === undefined || !(isCounted || used.has(job.account))
            ? 0
            : computeExcess(fleet, used, job.account),
        stepsDone: progress.filter(({ doneCount }, position) => doneCount === job.steps[position]?.count).length,
    }];
}

describe("steps that have tasks to start", () => {
    it("are the same, with the same values, as collected step by step", () => {
        let found = 0;
        fc.assert(
            fc.property(fc.integer(), seed =>
                runRandomFleet(seed, ({ state: { fleet }, now, estimator }) => {
                    const candidates = collectCandidates(fleet, now, estimator);
                    found += candidates.length;
                    expect(candidates).toEqual(collectCandidatesPerStep(fleet, now, estimator));
                })),
            { numRuns: 40 },
        );
        expect(found).toBeGreaterThan(0);
    });
});

describe("the order of steps beside one that no target can run", () => {
    // One task too large for every target reversed the order of all steps of its pool for as long as it waited.
    it.each([0, 1])("is the order without it (%i such steps)", count => {
        const state = buildTestFleet(10, { cpu: 4_000, memory: 4_000, gpu: 0 });
        const tooLarge = buildTestStep({ needs: { cpu: 900_000, memory: 1, gpu: 0 } });
        Array.from({ length: count }).forEach((_, index) => addTestJob(state, `large-${index}`, [tooLarge], 0));
        addTestJob(state, "first", [buildTestStep()], 100_000);
        addTestJob(state, "second", [buildTestStep()], 100_050);
        addTestJob(state, "third", [buildTestStep()], 101_500);
        const estimator: WorkEstimator = { computeStepMs: (_, step) => step.estimateMs, readMeanJobWork: () => 1_000 };
        const order = collectCandidates(state.fleet, 100_900, estimator).sort(compareCandidates);
        expect(order.map(({ job }) => job.id).slice(0, 3)).toEqual(["first", "second", "third"]);
    });
});

describe("excesses over weighted shares", () => {
    it("are those of the tasks that may be running", () => {
        fc.assert(
            fc.property(fc.integer(), seed =>
                runRandomFleet(seed, ({ state: { fleet } }) => {
                    const expected = [...collectUsedCpu(fleet)].map(([pool, used]) => [
                        pool,
                        new Map([...used.keys()].map(account => [account, computeExcess(fleet, used, account)])),
                    ]);
                    expect([...computeShareExcesses(fleet)].sort()).toEqual(expected.sort());
                })),
            { numRuns: 40 },
        );
    });
});
