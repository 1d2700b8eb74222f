import { computeReservedResources } from "../fleet/compute-reserved-resources.js";
import { encodeTaskKey } from "../jobs/encode-task-key.js";
import type { TaskRecord } from "../jobs/task-record.js";
import type { TaskStart } from "../jobs/task-start.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import { addResources } from "../resources/add-resources.js";
import { zeroResources } from "../resources/zero-resources.js";
import { encodeStepKey } from "./encode-step-key.js";
import { isRoomForGang } from "./is-room-for-gang.js";
import { isStartWithinCap } from "./is-start-within-cap.js";
import { pickTaskTarget } from "./pick-task-target.js";
import type { PlacementRound } from "./placement-round.js";
import type { PlacementTarget } from "./placement-target.js";
import { takeCapacity } from "./take-capacity.js";

/**
 * Plans starts of tasks of one step. A gang starts with all its tasks or not at all.
 * @param round - the round, to which the starts are added
 * @param candidate - the step
 * @param waiting - indexes of the tasks to start
 * @param targets - the targets on which they may start
 * @returns the targets of the tasks that start
 */
export function planStep(
    round: PlacementRound,
    candidate: StepCandidate,
    waiting: readonly number[],
    targets: readonly PlacementTarget[],
): readonly PlacementTarget[] {
    const { job, occurrence, step, definition } = candidate;
    const tasks = job.occurrences.get(occurrence)?.[step]?.tasks ?? [];
    const stepKey = encodeStepKey(job.id, occurrence, step);
    // The tasks of a gang share a run number, which identifies the members that run together.
    const gangRun = Math.max(0, ...tasks.map(task => task.run)) + 1;
    const isGangComplete = waiting.length === definition.count;
    if (definition.isGang && !(isGangComplete && isRoomForGang(round, candidate, stepKey, targets))) {
        return [];
    }
    const planned: { readonly start: TaskStart; readonly target: PlacementTarget }[] = [];
    for (const index of waiting) {
        const target = planTask(round, candidate, stepKey, tasks[index], targets);
        if (target === undefined) {
            break;
        }
        const run = definition.isGang ? gangRun : (tasks[index]?.run ?? 0) + 1;
        const task = encodeTaskKey({ job: job.id, occurrence, step, index });
        planned.push({ start: { task, run, target: target.record.id }, target });
    }
    if (definition.isGang && planned.length < waiting.length) {
        planned.forEach(({ target }) => releaseCapacity(round, candidate, stepKey, target));
        return [];
    }
    round.starts.push(...planned.map(({ start }) => start));
    return planned.map(({ target }) => target);
}

function planTask(
    round: PlacementRound,
    candidate: StepCandidate,
    stepKey: string,
    task: TaskRecord | undefined,
    targets: readonly PlacementTarget[],
): PlacementTarget | undefined {
    if (!isStartWithinCap(round, candidate)) {
        return undefined;
    }
    const target = pickTaskTarget(candidate.definition, stepKey, task, targets);
    if (target !== undefined) {
        takeCapacity(round, candidate, target);
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
