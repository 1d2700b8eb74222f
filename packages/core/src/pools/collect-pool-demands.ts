import { readConfigurationIndex } from "../configuration/read-configuration-index.js";
import type { FleetState } from "../fleet/fleet-state.js";
import { isJobFinished } from "../jobs/is-job-finished.js";
import { listDueOccurrences } from "../queueing/list-due-occurrences.js";
import { listWaitingSteps } from "../queueing/list-waiting-steps.js";
import { readPool } from "../queueing/read-pool.js";
import type { PoolDemand } from "./pool-demand.js";

type Writable<Value> = { -readonly [Name in keyof Value]: Value[Name] };

/**
 * Collects the demand of each pool. Unlike the scheduler's collection of candidates, it estimates no work and visits each
 * target once, as it runs several times a second also while nothing can start.
 * @param fleet - the fleet state
 * @param now - wall-clock time, milliseconds
 * @returns the demands by pool; a pool without targets and waiting tasks has none
 */
export function collectPoolDemands(fleet: FleetState, now: number): ReadonlyMap<string, PoolDemand> {
    const demands = new Map<string, Writable<PoolDemand>>();
    const findDemand = (pool: string): Writable<PoolDemand> => {
        const known = demands.get(pool);
        if (known !== undefined) {
            return known;
        }
        const demand = { capacity: 0, used: 0, usedLongRunning: 0, wanted: 0 };
        demands.set(pool, demand);
        return demand;
    };
    for (const { id, pool, capacity } of fleet.targets.values()) {
        const demand = findDemand(pool);
        const load = fleet.targetLoads.get(id);
        demand.capacity += capacity.cpu;
        demand.used += load?.used.cpu ?? 0;
        demand.usedLongRunning += load?.servingCpu ?? 0;
    }
    const queues = fleet.configuration === undefined
        ? undefined
        : readConfigurationIndex(fleet.configuration).queuesByName;
    for (const id of fleet.activeJobs) {
        const job = fleet.jobs.get(id);
        if (job === undefined || isJobFinished(job)) {
            continue;
        }
        for (const occurrence of listDueOccurrences(job, now, false)) {
            for (const { definition, waiting } of listWaitingSteps(job, occurrence)) {
                findDemand(readPool({ queue: queues?.get(job.queue), job })).wanted += waiting.length
                    * definition.needs.cpu;
            }
        }
    }
    return demands;
}
