import type { FleetState } from "../fleet/fleet-state.js";
import { addResources } from "../resources/add-resources.js";
import { isWithin } from "../resources/is-within.js";
import type { Resources } from "../resources/resources.js";
import { zeroResources } from "../resources/zero-resources.js";
import { readTargetsByPool } from "../targets/read-targets-by-pool.js";
import { ReportedTargetState } from "../targets/reported-target-state.js";
import type { TargetRecord } from "../targets/target-record.js";
import { anyResources } from "./any-resources.js";
import type { PlacementTarget } from "./placement-target.js";

/**
 * Builds the views of the targets on which tasks may start; targets that are not ready are skipped.
 * @param fleet - the fleet state
 * @param countStartsLeft - how many more tasks may be started on a target now
 * @param leastNeeds - the pools whose targets are needed, with the capacity below which a target is of no use; all targets are
 *     needed by default
 * @returns the target views by pool
 */
export function buildPlacementTargets(
    fleet: FleetState,
    countStartsLeft: (target: string) => number,
    leastNeeds?: ReadonlyMap<string, Resources>,
): Map<string, PlacementTarget[]> {
    const targetsByPool = readTargetsByPool(fleet.targets);
    const pools = new Map<string, PlacementTarget[]>();
    for (const pool of (leastNeeds ?? targetsByPool).keys()) {
        const needs = leastNeeds?.get(pool) ?? anyResources;
        const views = buildViews(fleet, targetsByPool.get(pool) ?? [], countStartsLeft, needs);
        if (views.length > 0) {
            pools.set(pool, views);
        }
    }
    return pools;
}

function buildViews(
    fleet: FleetState,
    targets: readonly TargetRecord[],
    countStartsLeft: (target: string) => number,
    needs: Resources,
): PlacementTarget[] {
    const views: PlacementTarget[] = [];
    for (const record of targets) {
        if (record.state !== ReportedTargetState.Ready) {
            continue;
        }
        const load = fleet.targetLoads.get(record.id);
        const free = addResources(record.capacity, load?.used ?? zeroResources, -1);
        const startsLeft = isWithin(needs, free) ? countStartsLeft(record.id) : 0;
        if (startsLeft === 0) {
            continue;
        }
        views.push({
            record,
            free,
            startsLeft,
            stepCounts: new Map(load?.stepCounts),
            hasServingTasks: (load?.servingCount ?? 0) > 0,
            hasFillers: (load?.fillerCount ?? 0) > 0,
            recentRuns: 0,
            isQuarantined: false,
        });
    }
    return views;
}
