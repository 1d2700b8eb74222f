import type { FleetState } from "../fleet/fleet-state.js";
import { decodeTaskKey } from "../jobs/decode-task-key.js";
import type { PoolLoad } from "./pool-load.js";
import type { StepCandidate } from "./step-candidate.js";

/**
 * Collects the load of each pool and the tasks waiting for it.
 * @param fleet - the fleet state
 * @param candidates - the steps that have tasks to start
 * @returns one load for each configured pool, except spare pools
 */
export function collectPoolLoads(fleet: FleetState, candidates: readonly StepCandidate[]): PoolLoad[] {
    const pools = fleet.configuration?.pools ?? [];
    return pools.filter(pool => !pool.isSpare).map(({ name }) => {
        const targets = [...fleet.targets.values()].filter(target => target.pool === name);
        const waitingSteps = candidates.filter(({ queue, job }) => (queue?.pool ?? job.pool) === name);
        const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
        return {
            pool: name,
            targets: targets.length,
            capacity: sum(targets.map(target => target.capacity.cpu)),
            used: sum(targets.map(target => fleet.targetLoads.get(target.id)?.used.cpu ?? 0)),
            usedLongRunning: sum(targets.map(target => computeLongRunningCpu(fleet, target.id))),
            waiting: sum(waitingSteps.map(step => step.waiting.length)),
            wanted: sum(waitingSteps.map(step => step.waiting.length * step.definition.needs.cpu)),
            late: sum(waitingSteps.map(step => step.slackMs < 0 ? step.waiting.length : 0)),
        };
    });
}

function computeLongRunningCpu(fleet: FleetState, target: string): number {
    let used = 0;
    for (const name of fleet.targetLoads.get(target)?.runs.keys() ?? []) {
        const key = decodeTaskKey(name);
        const step = key === undefined ? undefined : fleet.jobs.get(key.job)?.steps[key.step];
        used += step?.isLongRunning === true && !step.isFiller ? step.needs.cpu : 0;
    }
    return used;
}
