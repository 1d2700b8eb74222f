import type { FleetState } from "../fleet/fleet-state.js";
import { decodeTaskKey } from "../jobs/decode-task-key.js";
import { addResources } from "../resources/add-resources.js";
import { zeroResources } from "../resources/zero-resources.js";
import { ReportedTargetState } from "../targets/reported-target-state.js";
import { encodeStepKey } from "./encode-step-key.js";
import type { PlacementTarget } from "./placement-target.js";

/**
 * Builds the views of the targets on which tasks may start; targets that are not ready are skipped.
 * @param fleet - the fleet state
 * @param countStartsLeft - how many more tasks may be started on a target now
 * @returns the target views by pool
 */
export function buildPlacementTargets(
    fleet: FleetState,
    countStartsLeft: (target: string) => number,
): Map<string, PlacementTarget[]> {
    const pools = new Map<string, PlacementTarget[]>();
    for (const record of fleet.targets.values()) {
        const startsLeft = record.state === ReportedTargetState.Ready ? countStartsLeft(record.id) : 0;
        if (startsLeft === 0) {
            continue;
        }
        const load = fleet.targetLoads.get(record.id);
        const view: PlacementTarget = {
            record,
            free: addResources(record.capacity, load?.used ?? zeroResources, -1),
            startsLeft,
            stepCounts: new Map(),
            hasServingTasks: false,
            hasFillers: false,
        };
        for (const taskKey of load?.runs.keys() ?? []) {
            addRun(fleet, view, taskKey);
        }
        pools.set(record.pool, [...pools.get(record.pool) ?? [], view]);
    }
    return pools;
}

function addRun(fleet: FleetState, view: PlacementTarget, taskKey: string): void {
    const key = decodeTaskKey(taskKey);
    const step = key === undefined ? undefined : fleet.jobs.get(key.job)?.steps[key.step];
    if (key === undefined || step === undefined) {
        return;
    }
    const stepKey = encodeStepKey(key.job, key.occurrence, key.step);
    view.stepCounts.set(stepKey, (view.stepCounts.get(stepKey) ?? 0) + 1);
    view.hasServingTasks ||= step.isLongRunning && !step.isFiller;
    view.hasFillers ||= step.isFiller;
}
