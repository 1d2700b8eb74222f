import { computeReservedResources } from "../fleet/compute-reserved-resources.js";
import type { FleetState } from "../fleet/fleet-state.js";
import { isWithinAccountCap } from "../fleet/is-within-account-cap.js";
import { encodeTaskKey } from "../jobs/encode-task-key.js";
import type { TaskRecord } from "../jobs/task-record.js";
import type { TaskStart } from "../jobs/task-start.js";
import { compareCandidates } from "../queueing/compare-candidates.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import { addResources } from "../resources/add-resources.js";
import type { Resources } from "../resources/resources.js";
import { zeroResources } from "../resources/zero-resources.js";
import { encodeStepKey } from "./encode-step-key.js";
import { pickTaskTarget } from "./pick-task-target.js";
import type { PlacementTarget } from "./placement-target.js";

/** Number of starts from which a round plans no further step; keeps each entry of the replicated log small. */
const maxStartsPerRound = 200;

/** State of one placement round. */
interface PlacementRound {
    readonly fleet: FleetState;
    readonly pools: ReadonlyMap<string, PlacementTarget[]>;
    readonly accountLoads: Map<string, Resources>;
    readonly starts: TaskStart[];
    readonly isAdvised: (stepKey: string, target: string) => boolean;
}

interface PlanOptions {
    /** Order in which the steps are placed. */
    readonly compare?: (a: StepCandidate, b: StepCandidate) => number;
    /** Whether there is a ticket for a step and a target; called only for queues with a placement adviser. */
    readonly isAdvised?: (stepKey: string, target: string) => boolean;
}

/**
 * Plans which tasks start on which targets. A gang starts with all its tasks or not at all.
 * @param fleet - the fleet state
 * @param candidates - the steps that may start
 * @param pools - the targets by pool; their free capacity is decreased by the tasks placed
 * @param options - order of the steps, and the lookup of tickets for queues with a placement adviser
 * @returns the starts, most urgent first
 */
export function planStarts(
    fleet: FleetState,
    candidates: readonly StepCandidate[],
    pools: ReadonlyMap<string, PlacementTarget[]>,
    { compare = compareCandidates, isAdvised = () => false }: PlanOptions = {},
): TaskStart[] {
    const round: PlacementRound = { fleet, pools, accountLoads: new Map(fleet.accountLoads), starts: [], isAdvised };
    for (const candidate of [...candidates].sort(compare)) {
        if (round.starts.length >= maxStartsPerRound) {
            break;
        }
        planStep(round, candidate);
    }
    return round.starts;
}

function planStep(round: PlacementRound, candidate: StepCandidate): void {
    const { job, queue, occurrence, step, definition } = candidate;
    const tasks = job.occurrences[occurrence]?.[step]?.tasks ?? [];
    const stepKey = encodeStepKey(job.id, occurrence, step);
    const targets = (round.pools.get(queue?.pool ?? job.pool) ?? []).filter(({ record }) =>
        queue?.advice === undefined || round.isAdvised(stepKey, record.id)
    );
    // The tasks of a gang share a run number, which identifies the members that run together.
    const gangRun = Math.max(0, ...tasks.map(task => task.run)) + 1;
    if (definition.isGang && candidate.waiting.length < tasks.length) {
        return;
    }
    const planned: { readonly start: TaskStart; readonly target: PlacementTarget }[] = [];
    for (const index of candidate.waiting) {
        const target = planTask(round, candidate, stepKey, tasks[index], targets);
        if (target === undefined) {
            break;
        }
        const run = definition.isGang ? gangRun : (tasks[index]?.run ?? 0) + 1;
        const task = encodeTaskKey({ job: job.id, occurrence, step, index });
        planned.push({ start: { task, run, target: target.record.id }, target });
    }
    if (definition.isGang && planned.length < candidate.waiting.length) {
        planned.forEach(({ target }) => releaseCapacity(round, candidate, stepKey, target));
        return;
    }
    round.starts.push(...planned.map(({ start }) => start));
}

function planTask(
    round: PlacementRound,
    { job, definition }: StepCandidate,
    stepKey: string,
    task: TaskRecord | undefined,
    targets: readonly PlacementTarget[],
): PlacementTarget | undefined {
    const running = addResources(round.accountLoads.get(job.account) ?? zeroResources, definition.needs);
    if (!isWithinAccountCap(round.fleet, job.account, running)) {
        return undefined;
    }
    const target = pickTaskTarget(definition, stepKey, task, targets);
    if (target !== undefined) {
        target.startsLeft -= 1;
        target.free = addResources(target.free, computeReservedResources(definition), -1);
        target.stepCounts.set(stepKey, (target.stepCounts.get(stepKey) ?? 0) + 1);
        target.hasServingTasks ||= definition.isLongRunning && !definition.isFiller;
        target.hasFillers ||= definition.isFiller;
        round.accountLoads.set(job.account, running);
    }
    return target;
}

function releaseCapacity(
    round: PlacementRound,
    { job, definition }: StepCandidate,
    stepKey: string,
    target: PlacementTarget,
): void {
    target.startsLeft += 1;
    target.free = addResources(target.free, computeReservedResources(definition));
    target.stepCounts.set(stepKey, (target.stepCounts.get(stepKey) ?? 1) - 1);
    const running = round.accountLoads.get(job.account) ?? zeroResources;
    round.accountLoads.set(job.account, addResources(running, definition.needs, -1));
}
