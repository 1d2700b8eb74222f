import { readConfigurationIndex } from "../configuration/read-configuration-index.js";
import type { FleetState } from "../fleet/fleet-state.js";
import { isJobFinished } from "../jobs/is-job-finished.js";
import { listDueOccurrences } from "../queueing/list-due-occurrences.js";
import { listWaitingSteps } from "../queueing/list-waiting-steps.js";
import { readPool } from "../queueing/read-pool.js";
import type { TargetRecord } from "../targets/target-record.js";
import type { PoolDemand } from "./pool-demand.js";

type Writable<Value> = { -readonly [Name in keyof Value]: Value[Name] };

/**
 * Collects the demand of each pool. Unlike the scheduler's collection of candidates, it estimates no work and visits each
 * target once, as it runs several times a second also while nothing can start.
 * @param fleet - the fleet state
 * @param now - wall-clock time, milliseconds
 * @param isUsable - whether a target takes starts at this moment
 * @returns the demands by pool; a pool without targets and waiting tasks has none
 */
export function collectPoolDemands(
    fleet: FleetState,
    now: number,
    isUsable: (target: TargetRecord) => boolean,
): ReadonlyMap<string, PoolDemand> {
    const demands = new Map<string, Writable<PoolDemand>>();
    const findOrCreateDemand = (pool: string): Writable<PoolDemand> => {
        const known = demands.get(pool);
        if (known !== undefined) {
            return known;
        }
        const demand = { capacity: 0, unusable: 0, used: 0, usedLongRunning: 0, wanted: 0 };
        demands.set(pool, demand);
        return demand;
    };
    for (const target of fleet.targets.values()) {
        const { id, pool, capacity } = target;
        const demand = findOrCreateDemand(pool);
        const load = fleet.targetLoads.get(id);
        demand.capacity += capacity.cpu;
        demand.unusable += isUsable(target) ? 0 : capacity.cpu;
        demand.used += load?.used.cpu ?? 0;
        demand.usedLongRunning += load?.servingCpu ?? 0;
    }
    for (const [pool, cpu] of collectWantedCpu(fleet, now)) {
        findOrCreateDemand(pool).wanted = cpu;
    }
    return demands;
}

/** Adds up by pool the thousandths of a core that waiting tasks request. */
function collectWantedCpu({ configuration, activeJobs, jobs }: FleetState, now: number): ReadonlyMap<string, number> {
    const queues = configuration === undefined ? undefined : readConfigurationIndex(configuration).queuesByName;
    const wanted = new Map<string, number>();
    for (const id of activeJobs) {
        const job = jobs.get(id);
        if (job === undefined || isJobFinished(job)) {
            continue;
        }
        const pool = readPool({ queue: queues?.get(job.queue), job });
        const waitingSteps = listDueOccurrences(job, now, false).flatMap(occurrence =>
            listWaitingSteps(job, occurrence)
        );
        for (const { definition, waiting } of waitingSteps) {
            wanted.set(pool, (wanted.get(pool) ?? 0) + waiting.length * definition.needs.cpu);
        }
    }
    return wanted;
}
