import { isTargetUsable } from "../health/is-target-usable.js";
import type { AdmissionState } from "./admission-state.js";
import type { PoolAdmission } from "./pool-admission.js";
import { TargetAvailability } from "./target-availability.js";
import { TargetPolicy } from "./target-policy.js";
import type { TargetSlots } from "./target-slots.js";

/**
 * Panic threshold: when fewer than this fraction of the ready targets are usable, health is ignored, since the failures
 * then probably have a common cause.
 */
const panicFraction = 0.5;

/**
 * Picks the target for a request: the one with the lowest load, in the entry's own availability zone if one has a free
 * slot there. With the round-robin policy, takes the ready targets with a free slot in rotation.
 * @param state - the entry's admission state
 * @param pool - admission state of the pool
 * @param avoid - VMs of targets that are not used while there are other ready targets, even if those have no free slot
 * @param now - monotonic milliseconds
 * @returns a target with a free slot, or `undefined` when there is none
 */
export function pickRequestTarget(
    state: AdmissionState,
    pool: PoolAdmission,
    avoid: ReadonlySet<string>,
    now: number,
): TargetSlots | undefined {
    const ready = listReady(state, pool);
    if (state.policy.target === TargetPolicy.RoundRobin) {
        const free = ready.filter(target => target.inUse < target.allowed);
        return free[pool.roundRobinPosition++ % Math.max(1, free.length)];
    }
    const usable = ready.filter(target => isTargetUsable(target.health, target.inUse, now));
    const candidates = usable.length < ready.length * panicFraction ? ready : usable;
    const free = candidates.filter(target => target.inUse < target.allowed);
    const preferred = free.filter(target => !avoid.has(target.vm));
    return pickLeastLoaded(state, pool, preferred.length > 0 || ready.length > avoid.size ? preferred : free);
}

function listReady(state: AdmissionState, pool: PoolAdmission): TargetSlots[] {
    const ready: TargetSlots[] = [];
    for (const vm of pool.targets) {
        const target = state.targets.get(vm);
        if (target !== undefined && target.state === TargetAvailability.Ready && target.allowed > 0) {
            ready.push(target);
        }
    }
    return ready;
}

function pickLeastLoaded(
    state: AdmissionState,
    pool: PoolAdmission,
    targets: readonly TargetSlots[],
): TargetSlots | undefined {
    pool.roundRobinPosition += 1;
    let best: TargetSlots | undefined;
    let bestScore = Infinity;
    for (let offset = 0; offset < targets.length; offset++) {
        const target = targets[(offset + pool.roundRobinPosition) % targets.length];
        if (target === undefined) {
            continue;
        }
        const score = target.inUse / target.allowed + (target.zone === state.zone ? 0 : 1);
        if (score < bestScore) {
            best = target;
            bestScore = score;
        }
    }
    return best;
}
