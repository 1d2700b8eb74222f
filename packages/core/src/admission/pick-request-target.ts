import { isTargetUsable } from "../health/is-target-usable.js";
import type { AdmissionState } from "./admission-state.js";
import type { PoolAdmission } from "./pool-admission.js";
import { TargetAvailability } from "./target-availability.js";
import { TargetPolicy } from "./target-policy.js";
import type { TargetSlots } from "./target-slots.js";

/** Below this part of usable targets, health is ignored: the cause is then common to all. */
const panicFraction = 0.5;

/**
 * Picks the target for a request: in the entry's own zone if possible, then the one with the largest free part.
 * @param state - the entry
 * @param pool - the pool
 * @param avoid - targets not to use while there are others
 * @param now - monotonic milliseconds
 * @returns a target with a free slot, or `undefined`
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
    for (let step = 0; step < targets.length; step++) {
        const target = targets[(step + pool.roundRobinPosition) % targets.length];
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
