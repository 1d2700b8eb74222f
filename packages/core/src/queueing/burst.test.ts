import { describe, expect, it } from "@jest/globals";

import { CommandKind } from "../control/command-kind.js";
import { applyRecordEnds } from "../jobs/apply-record-ends.js";
import { applyRecordStarts } from "../jobs/apply-record-starts.js";
import { decodeTaskKey } from "../jobs/decode-task-key.js";
import { JobPhase } from "../jobs/job-phase.js";
import { RunOutcome } from "../jobs/run-outcome.js";
import { buildPlacementTargets } from "../placement/build-placement-targets.js";
import { planStarts } from "../placement/plan-starts.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { createRandom } from "../testing/create-random.js";
import { collectCandidates } from "./collect-candidates.js";
import { compareCandidates } from "./compare-candidates.js";
import type { StepCandidate } from "./step-candidate.js";

const stepMs = 20;
const burstMs = 4_500;
const poolMillicores = 48_000;

interface BurstResult {
    readonly onTime: number;
    readonly completed: number;
    readonly submitted: number;
}

/** Simulates one burst of demand above the capacity of a pool, with exact estimates, and counts jobs by result. */
function runBurst(
    seed: number,
    overload: number,
    compare: (a: StepCandidate, b: StepCandidate) => number,
): BurstResult {
    const random = createRandom(seed);
    const state = buildTestFleet(4, { cpu: poolMillicores / 4, memory: 1e9, gpu: 0 });
    const { fleet } = state;
    const estimator = { computeStepMs: (_: unknown, step: { estimateMs: number }) => step.estimateMs, readMeanJobWork };
    const running: { endsAt: number; task: string; run: number; target: string }[] = [];
    const deadlines = new Map<string, number>();
    const meanWork = 6 * 640 * 1_000;
    const arrivalsPerStep = overload * poolMillicores * stepMs / meanWork;
    for (let now = 0; now < 60_000; now += stepMs) {
        if (now < burstMs && random() < arrivalsPerStep) {
            const count = 1 + Math.floor(random() * 11);
            const estimateMs = 200 + Math.floor(random() * 880);
            const id = `${deadlines.size}`;
            addTestJob(state, id, [buildTestStep({ count, estimateMs })], now);
            deadlines.set(id, now + 1.6 * estimateMs + 600);
        }
        const endedRuns = running.filter(({ endsAt }) => endsAt <= now);
        endedRuns.forEach(run => running.splice(running.indexOf(run), 1));
        const ends = endedRuns.map(({ task, run, target }) => ({ task, run, target, how: RunOutcome.Done, saved: "" }));
        applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends, atMs: now });
        const targetsByPool = buildPlacementTargets(fleet, () => Number.POSITIVE_INFINITY);
        const starts = planStarts(fleet, collectCandidates(fleet, now, estimator), targetsByPool, { compare });
        for (const start of applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts })) {
            const job = fleet.jobs.get(decodeTaskKey(start.task)?.job ?? "");
            running.push({ ...start, endsAt: now + (job?.steps[0]?.estimateMs ?? 0) });
        }
    }
    const jobs = [...fleet.jobs.values()];
    const isOnTime = ({ id, phase, endedAtMs }: (typeof jobs)[number]) =>
        phase === JobPhase.Completed && endedAtMs <= (deadlines.get(id) ?? 0);
    return {
        onTime: jobs.filter(isOnTime).length,
        completed: jobs.filter(({ phase }) => phase === JobPhase.Completed).length,
        submitted: jobs.length,
    };

    function readMeanJobWork(): number {
        return meanWork;
    }
}

function compareArrivalTimes(a: StepCandidate, b: StepCandidate): number {
    return a.job.acceptedAtMs - b.job.acceptedAtMs;
}

function computeOnTimeShare(overload: number, compare: typeof compareArrivalTimes): number {
    const results = [1, 2, 3, 4, 5].map(seed => runBurst(seed, overload, compare));
    const sum = (pick: (result: BurstResult) => number) => results.reduce((total, result) => total + pick(result), 0);
    return sum(({ onTime }) => onTime) / sum(({ submitted }) => submitted);
}

describe("queueing during a burst above the capacity of the pool", () => {
    it("finishes more jobs on time than first come, first served", () => {
        expect(computeOnTimeShare(1.5, compareCandidates)).toBeGreaterThan(
            computeOnTimeShare(1.5, compareArrivalTimes),
        );
        expect(computeOnTimeShare(2.2, compareCandidates)).toBeGreaterThan(
            computeOnTimeShare(2.2, compareArrivalTimes) * 1.2,
        );
    });

    it("eventually completes every job, including the largest", () => {
        const { completed, submitted } = runBurst(7, 2, compareCandidates);
        expect(submitted).toBeGreaterThan(50);
        expect(completed).toBe(submitted);
    });
});
