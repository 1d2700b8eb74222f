import { describe, expect, it } from "@jest/globals";

import { CommandKind } from "../control/command-kind.js";
import { applyRecordEnds } from "../jobs/apply-record-ends.js";
import { applyRecordStarts } from "../jobs/apply-record-starts.js";
import { applySubmitJob } from "../jobs/apply-submit-job.js";
import { decodeTaskKey } from "../jobs/decode-task-key.js";
import { RunOutcome } from "../jobs/run-outcome.js";
import { buildPlacementTargets } from "../placement/build-placement-targets.js";
import { planStarts } from "../placement/plan-starts.js";
import { zeroResources } from "../resources/zero-resources.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { createRandom } from "../testing/create-random.js";
import { collectCandidates } from "./collect-candidates.js";
import { compareCandidates } from "./compare-candidates.js";
import { computeShareExcesses } from "./compute-share-excesses.js";
import type { StepCandidate } from "./step-candidate.js";

const estimator = {
    computeStepMs: (_: unknown, step: { estimateMs: number }) => step.estimateMs,
    readMeanJobWork: () => 3 * 600 * 1_000,
};

function buildFleet(weights: Readonly<Record<string, number>>) {
    const state = buildTestFleet(4, { cpu: 8_000, memory: 1e9, gpu: 0 });
    const { configuration } = state.fleet;
    if (configuration === undefined) {
        throw new TypeError("the test fleet has no configuration");
    }
    const accounts = Object.entries(weights).map(([name, weight]) => ({
        name,
        weight,
        keys: [name],
        cap: zeroResources,
    }));
    state.fleet.configuration = { ...configuration, accounts };
    return state;
}

/** Simulates a pool filled by an account that submits six times as many jobs as another; returns on-time shares. */
function runUnevenLoad(seed: number, compare: typeof compareCandidates): Record<string, number> {
    const random = createRandom(seed);
    const state = buildFleet({ large: 1, small: 1 });
    const running: { endsAt: number; task: string; run: number; target: string }[] = [];
    const deadlines = new Map<string, { account: string; at: number }>();
    const arrivalsPerSecond = { large: 24, small: 4 };
    for (let now = 0; now < 14_000; now += 20) {
        for (const [account, rate] of Object.entries(arrivalsPerSecond)) {
            if (now < 8_000 && random() < rate * 0.02) {
                const estimateMs = 300 + Math.floor(random() * 600);
                const id = `j${deadlines.size}`;
                const steps = [buildTestStep({ count: 3, estimateMs })];
                const request = { spec: "", steps, times: 0, startAtMs: 0, intervalMs: 0 };
                applySubmitJob(state, {
                    kind: CommandKind.SubmitJob,
                    id,
                    queue: "q-web",
                    account,
                    request,
                    atMs: now,
                });
                deadlines.set(id, { account, at: now + 1.6 * estimateMs + 600 });
            }
        }
        const endedRuns = running.filter(({ endsAt }) => endsAt <= now);
        endedRuns.forEach(run => running.splice(running.indexOf(run), 1));
        const ends = endedRuns.map(({ task, run, target }) => ({ task, run, target, how: RunOutcome.Done, saved: "" }));
        applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends, atMs: now });
        const targetsByPool = buildPlacementTargets(state.fleet, () => Number.POSITIVE_INFINITY);
        const starts = planStarts(state.fleet, collectCandidates(state.fleet, now, estimator), targetsByPool, {
            compare,
        });
        for (const start of applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts })) {
            const job = state.fleet.jobs.get(decodeTaskKey(start.task)?.job ?? "");
            running.push({ ...start, endsAt: now + (job?.steps[0]?.estimateMs ?? 0) });
        }
    }
    const isOnTime = (id: string, at: number): boolean => {
        const endedAt = state.fleet.jobs.get(id)?.endedAtMs ?? 0;
        return endedAt > 0 && endedAt <= at;
    };
    return Object.fromEntries(
        Object.keys(arrivalsPerSecond).map(account => {
            const accountDeadlines = [...deadlines].filter(([, deadline]) => deadline.account === account);
            return [
                account,
                accountDeadlines.filter(([id, { at }]) => isOnTime(id, at)).length / accountDeadlines.length,
            ];
        }),
    );
}

function compareWithoutShares(a: StepCandidate, b: StepCandidate): number {
    return compareCandidates({ ...a, shareExcess: 0 }, { ...b, shareExcess: 0 });
}

describe("weighted shares in a pool at capacity", () => {
    it("keep jobs of a small account on time while another account floods the pool", () => {
        const seeds = [1, 2, 3, 4];
        const mean = (compare: typeof compareCandidates) =>
            seeds.reduce((sum, seed) => sum + (runUnevenLoad(seed, compare)["small"] ?? 0), 0) / seeds.length;
        const small = mean(compareCandidates);
        expect(small).toBeGreaterThan(0.9);
        expect(small).toBeGreaterThan(mean(compareWithoutShares) + 0.1);
    });

    it("compare cores in use with weights, among the accounts that have work", () => {
        const state = buildFleet({ a: 3, b: 1, idle: 100 });
        ["a", "b"].forEach((account, position) => {
            const steps = [buildTestStep({ count: 2 })];
            const request = { spec: "", steps, times: 0, startAtMs: 0, intervalMs: 0 };
            applySubmitJob(state, {
                kind: CommandKind.SubmitJob,
                id: `j${position}`,
                queue: "q-web",
                account,
                request,
                atMs: 0,
            });
        });
        const targetsByPool = buildPlacementTargets(state.fleet, () => Number.POSITIVE_INFINITY);
        const starts = planStarts(state.fleet, collectCandidates(state.fleet, 0, estimator), targetsByPool);
        applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts });
        const excesses = computeShareExcesses(state.fleet).get("web");
        expect(excesses?.get("a")).toBe(0);
        expect(excesses?.get("b")).toBe(1);
    });
});
