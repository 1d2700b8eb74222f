import type { FleetState } from "../fleet/fleet-state.js";
import { isSuspect } from "../placement/is-suspect.js";
import { readTargetsByPool } from "../targets/read-targets-by-pool.js";
import { computeUrgency } from "./compute-urgency.js";
import type { PoolLoad } from "./pool-load.js";
import { readPool } from "./read-pool.js";
import type { StepCandidate } from "./step-candidate.js";
import { Urgency } from "./urgency.js";

/**
 * Collects the load of each pool and the tasks waiting for it.
 * @param fleet - the fleet state
 * @param candidates - the steps that have tasks to start
 * @returns one load for each configured pool, except spare pools
 */
export function collectPoolLoads(fleet: FleetState, candidates: readonly StepCandidate[]): PoolLoad[] {
    const pools = fleet.configuration?.pools ?? [];
    return pools.filter(pool => !pool.isSpare).map(({ name }) => {
        const targets = readTargetsByPool(fleet.targets).get(name) ?? [];
        const waitingSteps = candidates.filter(candidate => readPool(candidate) === name);
        const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
        return {
            pool: name,
            targets: targets.length,
            capacity: sum(targets.map(target => target.capacity.cpu)),
            used: sum(targets.map(target => fleet.targetLoads.get(target.id)?.used.cpu ?? 0)),
            usedLongRunning: sum(targets.map(target => fleet.targetLoads.get(target.id)?.servingCpu ?? 0)),
            waiting: sum(waitingSteps.map(step => step.waiting.length)),
            wanted: sum(waitingSteps.map(step => step.waiting.length * step.definition.needs.cpu)),
            uncertain: sum(
                waitingSteps.map(step => computeUrgency(step) === Urgency.Uncertain ? step.waiting.length : 0),
            ),
            late: sum(waitingSteps.map(step => step.slackMs < 0 ? step.waiting.length : 0)),
            suspects: fleet.suspectTasks.size === 0 ? 0 : sum(waitingSteps.map(countSuspects)),
        };
    });
}

function countSuspects(step: StepCandidate): number {
    return step.waiting.filter(index => isSuspect(step, index)).length;
}
