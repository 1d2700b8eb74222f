import type { FleetState } from "../fleet/fleet-state.js";
import { addResources } from "../resources/add-resources.js";
import { zeroResources } from "../resources/zero-resources.js";
import { ReportedTargetState } from "../targets/reported-target-state.js";
import type { PlacementTarget } from "./placement-target.js";

/**
 * Builds the views of the targets on which tasks may start; targets that are not ready are skipped.
 * @param fleet - the fleet state
 * @param countStartsLeft - how many more tasks may be started on a target now
 * @param isPoolNeeded - whether the targets of a pool are needed; all are by default
 * @returns the target views by pool
 */
export function buildPlacementTargets(
    fleet: FleetState,
    countStartsLeft: (target: string) => number,
    isPoolNeeded: (pool: string) => boolean = () => true,
): Map<string, PlacementTarget[]> {
    const pools = new Map<string, PlacementTarget[]>();
    for (const record of fleet.targets.values()) {
        const isCandidate = record.state === ReportedTargetState.Ready && isPoolNeeded(record.pool);
        const startsLeft = isCandidate ? countStartsLeft(record.id) : 0;
        if (startsLeft === 0) {
            continue;
        }
        const load = fleet.targetLoads.get(record.id);
        const view: PlacementTarget = {
            record,
            free: addResources(record.capacity, load?.used ?? zeroResources, -1),
            startsLeft,
            stepCounts: new Map(load?.stepCounts),
            hasServingTasks: (load?.servingCount ?? 0) > 0,
            hasFillers: (load?.fillerCount ?? 0) > 0,
            recentRuns: 0,
            isQuarantined: false,
        };
        const views = pools.get(record.pool);
        if (views === undefined) {
            pools.set(record.pool, [view]);
        }
        else {
            views.push(view);
        }
    }
    return pools;
}
