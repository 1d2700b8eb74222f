import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { applyCancelJob } from "../jobs/apply-cancel-job.js";
import { applyRecordEnds } from "../jobs/apply-record-ends.js";
import { applyRecordStarts } from "../jobs/apply-record-starts.js";
import { applySubmitJob } from "../jobs/apply-submit-job.js";
import type { JobStep } from "../jobs/job-step.js";
import { RunOutcome } from "../jobs/run-outcome.js";
import { buildPlacementTargets } from "../placement/build-placement-targets.js";
import { planStarts } from "../placement/plan-starts.js";
import { collectCandidates } from "../queueing/collect-candidates.js";
import type { WorkEstimator } from "../queueing/work-estimator.js";
import { zeroResources } from "../resources/zero-resources.js";
import { removeTarget } from "../targets/remove-target.js";
import { buildTestFleet } from "./build-test-fleet.js";
import { buildTestStep } from "./build-test-step.js";
import { createRandom } from "./create-random.js";

const roundCount = 30;
const roundMs = 100;
const capacity = { cpu: 6_000, memory: 6_000, gpu: 2 };
const estimator: WorkEstimator = {
    computeStepMs: (_, step) => step.estimateMs,
    readMeanJobWork: () => 1_000_000,
};

/** A random fleet before one scheduling round. */
interface RandomFleetRound {
    readonly state: ControlState;
    /** Wall-clock time, milliseconds. */
    readonly now: number;
    readonly estimator: WorkEstimator;
    /** How many more tasks may be started on a target now. */
    readonly countStartsLeft: (target: string) => number;
}

/**
 * Runs a fleet on which random jobs are submitted, started, ended and cancelled and from which targets are removed.
 * @param seed - seed of the random choices
 * @param check - called before each scheduling round
 */
export function runRandomFleet(seed: number, check: (round: RandomFleetRound) => void): void {
    const random = createRandom(seed);
    const draw = (count: number): number => Math.floor(random() * count);
    const state = buildRandomFleet(draw);
    for (let round = 0; round < roundCount; round++) {
        const now = round * roundMs;
        for (let count = draw(3); count > 0; count--) {
            addRandomJob(state, draw, now);
        }
        const limits = new Map([...state.fleet.targets.keys()].map(id => [id, pickStartsLeft(draw)]));
        const countStartsLeft = (target: string): number => limits.get(target) ?? 0;
        check({ state, now, estimator, countStartsLeft });
        const pools = buildPlacementTargets(state.fleet, countStartsLeft);
        const starts = planStarts(state.fleet, collectCandidates(state.fleet, now, estimator), pools);
        applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts: starts.filter(() => draw(10) > 0) });
        applyRandomEnds(state, draw, now);
    }
}

function buildRandomFleet(draw: (count: number) => number): ControlState {
    const state = buildTestFleet(1 + draw(12), capacity);
    const { configuration, targets } = state.fleet;
    targets.forEach(target => targets.set(target.id, { ...target, pool: draw(3) > 0 ? "web" : "batch" }));
    if (configuration !== undefined) {
        const accounts = [
            ...configuration.accounts,
            { name: "other", keys: [], weight: 3, cap: zeroResources },
            { name: "limited", keys: [], weight: 1, cap: { cpu: 5_000, memory: 0, gpu: 2 } },
        ];
        const queues = configuration.queues.map((queue, priority) => ({ ...queue, priority }));
        state.fleet.configuration = { ...configuration, accounts, queues };
    }
    return state;
}

function pickStartsLeft(draw: (count: number) => number): number {
    return [0, 1, 2][draw(12)] ?? Number.POSITIVE_INFINITY;
}

function addRandomJob(state: ControlState, draw: (count: number) => number, now: number): void {
    const steps = Array.from({ length: 1 + draw(3) }, (_, position) => buildRandomStep(draw, position));
    const times = draw(8) === 0 ? 2 : 0;
    applySubmitJob(state, {
        kind: CommandKind.SubmitJob,
        id: `j${state.fleet.jobs.size}`,
        queue: draw(4) > 0 ? "q-web" : "q-batch",
        account: ["team", "other", "limited", "unknown"][draw(4)] ?? "",
        request: { spec: "", steps, times, startAtMs: now + roundMs, intervalMs: 2 * roundMs },
        atMs: now - draw(2_000),
    });
}

function buildRandomStep(draw: (count: number) => number, position: number): JobStep {
    const isLongRunning = draw(6) === 0;
    return buildTestStep({
        count: 1 + draw(5),
        needs: { cpu: 500 * (1 + draw(5)), memory: 100 * draw(20), gpu: draw(8) === 0 ? 1 : 0 },
        estimateMs: 100 * draw(20),
        after: position > 0 && draw(2) === 0 ? [draw(position)] : [],
        isGang: !isLongRunning && draw(6) === 0,
        requiredLabel: draw(6) === 0 ? `r${draw(3)}` : undefined,
        dataRack: draw(4) === 0 ? `r${draw(3)}` : undefined,
        maxPerTarget: draw(4) === 0 ? 1 + draw(2) : 0,
        isLongRunning,
        isFiller: isLongRunning && draw(2) === 0,
    });
}

function applyRandomEnds(state: ControlState, draw: (count: number) => number, atMs: number): void {
    const { targetLoads, targets, jobs } = state.fleet;
    const outcomes = [RunOutcome.Done, RunOutcome.Done, RunOutcome.Failed, RunOutcome.Stopped];
    const ends = [...targetLoads].flatMap(([target, { runs }]) =>
        [...runs].filter(() => draw(3) === 0)
            .map(([task, run]) => ({ task, run, target, how: outcomes[draw(4)] ?? RunOutcome.Done, saved: "" }))
    );
    applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends, atMs });
    const cancelled = [...jobs.keys()][draw(4 * jobs.size)];
    if (cancelled !== undefined) {
        applyCancelJob(state, { kind: CommandKind.CancelJob, id: cancelled, atMs });
    }
    const removed = [...targets.values()][draw(20 * targets.size)];
    if (removed !== undefined && targets.size > 1) {
        removeTarget(state, removed, atMs, draw(2) === 0 ? { target: removed.id, runs: [] } : undefined);
    }
}
