import type { FleetState } from "../fleet/fleet-state.js";
import { readTargetsByPool } from "../targets/read-targets-by-pool.js";
import { ReportedTargetState } from "../targets/reported-target-state.js";
import type { PoolTargetSummary } from "./pool-target-summary.js";
import { TargetExclusion } from "./target-exclusion.js";
import type { TargetStatus } from "./target-status.js";

/**
 * Summarizes the state of the targets of a pool.
 * @param fleet - the fleet state
 * @param pool - name of the pool
 * @param readStatus - reads the status of a target by id
 * @returns counts of targets and of unconfirmed runs
 */
export function computePoolTargetSummary(
    fleet: FleetState,
    pool: string,
    readStatus: (target: string) => TargetStatus,
): PoolTargetSummary {
    const targets = readTargetsByPool(fleet.targets).get(pool) ?? [];
    const statuses = targets.map(({ id }) => readStatus(id));
    const exclusions = targets.map(({ state }, index) =>
        state === ReportedTargetState.Ready ? statuses[index]?.exclusion : TargetExclusion.Draining
    );
    const countTargets = (exclusion: TargetExclusion | undefined): number =>
        exclusions.filter(other => other === exclusion).length;
    const runs = statuses.flatMap(({ unconfirmedRuns }) => unconfirmedRuns);
    return {
        usable: countTargets(undefined),
        excluded: {
            [TargetExclusion.Draining]: countTargets(TargetExclusion.Draining),
            [TargetExclusion.Cordoned]: countTargets(TargetExclusion.Cordoned),
            [TargetExclusion.Unsynced]: countTargets(TargetExclusion.Unsynced),
            [TargetExclusion.Unrecorded]: countTargets(TargetExclusion.Unrecorded),
            [TargetExclusion.Unreachable]: countTargets(TargetExclusion.Unreachable),
            [TargetExclusion.Checking]: countTargets(TargetExclusion.Checking),
            [TargetExclusion.Backoff]: countTargets(TargetExclusion.Backoff),
            [TargetExclusion.Overdue]: countTargets(TargetExclusion.Overdue),
            [TargetExclusion.Ejected]: countTargets(TargetExclusion.Ejected),
        },
        unconfirmed: runs.length,
        unsent: runs.filter(({ isInFlight }) => !isInFlight).length,
        oldestUnconfirmedMs: Math.round(runs.reduce((oldest, { ageMs }) => Math.max(oldest, ageMs), 0)),
    };
}
