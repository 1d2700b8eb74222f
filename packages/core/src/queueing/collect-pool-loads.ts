import type { FleetState } from "../fleet/fleet-state.js";
import { decodeTaskKey } from "../jobs/decode-task-key.js";
import type { PoolLoad } from "./pool-load.js";
import type { StepCandidate } from "./step-candidate.js";

/**
 * Collects how full each pool is.
 * @param fleet - the fleet state
 * @param candidates - the steps that have tasks to start
 * @returns one load a pool that has targets or waiting tasks
 */
export function collectPoolLoads(fleet: FleetState, candidates: readonly StepCandidate[]): PoolLoad[] {
    const pools = fleet.configuration?.pools ?? [];
    return pools.filter(pool => !pool.isSpare).map(({ name }) => {
        const targets = [...fleet.targets.values()].filter(target => target.pool === name);
        const waiting = candidates.filter(({ queue: rule, job }) => (rule?.pool ?? job.pool) === name);
        const sum = (list: readonly number[]): number => list.reduce((total, value) => total + value, 0);
        return {
            pool: name,
            targets: targets.length,
            capacity: sum(targets.map(target => target.capacity.cpu)),
            used: sum(targets.map(target => fleet.targetLoads.get(target.id)?.used.cpu ?? 0)),
            usedLongRunning: sum(targets.map(target => computeLongRunningCpu(fleet, target.id))),
            waiting: sum(waiting.map(step => step.waiting.length)),
            wanted: sum(waiting.map(step => step.waiting.length * step.definition.needs.cpu)),
            late: sum(waiting.map(step => step.slackMs < 0 ? step.waiting.length : 0)),
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
