import type { DisruptionBudget } from "./disruption-budget.js";
import { isStepUnavailable } from "./is-step-unavailable.js";
import { listUnavailable } from "./list-unavailable.js";
import type { MaintenanceVm } from "./maintenance-vm.js";
import { PauseReason } from "./pause-reason.js";
import { pickVmsToDrain } from "./pick-vms-to-drain.js";
import { VmStep } from "./vm-step.js";
import type { WavePlan } from "./wave-plan.js";
import { WaveStatus } from "./wave-status.js";
import type { WaveTiming } from "./wave-timing.js";
import type { WaveTransition } from "./wave-transition.js";
import type { Wave } from "./wave.js";

/** VMs that don't come back before the wave is paused. */
const maxFailedVms = 2;
/** Part of a pool's VMs that may be down by themselves before waves are paused. */
const maxUnplannedDownFraction = 0.5;

/** What a plan rests on. */
interface WavePlanInput {
    readonly wave: Wave;
    /** All waves, this one included. */
    readonly waves: readonly Wave[];
    readonly fleet: ReadonlyMap<string, MaintenanceVm>;
    readonly budgets: ReadonlyMap<string, DisruptionBudget>;
    readonly timing: WaveTiming;
    /** Wall clock, milliseconds. */
    readonly now: number;
}

/**
 * Plans the next steps of a wave. Steps that were begun go on in every status; new VMs are taken out only while the wave
 * runs, within each pool's budget, counting all that is down.
 * @param view - the wave and its surroundings
 * @returns steps to commit
 */
export function planWave(view: WavePlanInput): WavePlan {
    const { wave } = view;
    const advances = [...wave.vms].flatMap(([vm, state]) => planTransition(view, vm, state) ?? []);
    const pause = wave.status === WaveStatus.Running ? findPauseReason(view, advances) : undefined;
    const isStarting = wave.status === WaveStatus.Running && pause === undefined;
    const unavailable = listUnavailable(view.fleet.values(), view.waves);
    const drains = isStarting ? pickVmsToDrain(wave, view.fleet, view.budgets, unavailable) : [];
    const transitions = [
        ...advances,
        ...drains.map(vm => (
            { vm, from: VmStep.Waiting, to: VmStep.Draining, incarnation: view.fleet.get(vm)?.incarnation ?? 0 }
        )),
    ];
    const isDone = transitions.length === 0 && [...wave.vms.values()].every(({ step }) => isTerminalStep(step));
    return { transitions, pause, isDone };
}

function isTerminalStep(step: VmStep): boolean {
    return step === VmStep.Done || step === VmStep.GivenUp;
}

function planTransition(
    view: WavePlanInput,
    vm: string,
    state: Wave["vms"] extends ReadonlyMap<string, infer V> ? V : never,
): WaveTransition | undefined {
    const { fleet, timing, now } = view;
    const seen = fleet.get(vm);
    const elapsedMs = now - state.since;
    const { step: from, incarnation } = state;
    const hasReturned = seen !== undefined && seen.isReady && seen.incarnation > incarnation;
    if (seen === undefined && from !== VmStep.Done && from !== VmStep.GivenUp) {
        // The VM left the tables, which ends its part of the wave.
        return { vm, from, to: VmStep.GivenUp, incarnation };
    }
    switch (from) {
        case VmStep.Draining:
            return seen?.isDrained === true
                ? { vm, from, to: VmStep.Rebooting, incarnation: seen.incarnation }
                : undefined;
        case VmStep.Rebooting:
            if (hasReturned) {
                return { vm, from, to: VmStep.Probation, incarnation: seen.incarnation };
            }
            return elapsedMs > timing.returnTimeoutMs ? { vm, from, to: VmStep.Failed, incarnation } : undefined;
        case VmStep.Probation:
            if (seen?.isReady !== true) {
                return { vm, from, to: VmStep.Failed, incarnation };
            }
            return elapsedMs > timing.probationMs ? { vm, from, to: VmStep.Done, incarnation } : undefined;
        case VmStep.Failed:
            // A late return is as good as a timely one.
            return hasReturned ? { vm, from, to: VmStep.Probation, incarnation: seen.incarnation } : undefined;
        case VmStep.Waiting:
        case VmStep.Done:
        case VmStep.GivenUp:
            return undefined;
    }
}

function findPauseReason(view: WavePlanInput, advances: readonly WaveTransition[]): PauseReason | undefined {
    const newlyFailed = advances.filter(({ to }) => to === VmStep.Failed).length;
    const failed = [...view.wave.vms.values()].filter(({ step }) => step === VmStep.Failed).length;
    if (failed + newlyFailed >= maxFailedVms) {
        return PauseReason.TooManyFailedVms;
    }
    return isCorrelatedFailure(view) ? PauseReason.CorrelatedFailures : undefined;
}

/** Counts what is down without having been taken out by a wave. */
function isCorrelatedFailure(view: WavePlanInput): boolean {
    const down = new Map<string, number>();
    for (const seen of view.fleet.values()) {
        const isOurs = view.waves.some(wave => {
            const state = wave.vms.get(seen.vm);
            return state !== undefined && isStepUnavailable(state.step);
        });
        if (!seen.isReady && !isOurs) {
            down.set(seen.pool, (down.get(seen.pool) ?? 0) + 1);
        }
    }
    const pools = new Set([...view.wave.vms.keys()].map(vm => view.fleet.get(vm)?.pool));
    return [...down].some(([pool, count]) => {
        const budget = view.budgets.get(pool);
        return pools.has(pool) && budget !== undefined && count > 1 && count >= budget.vms * maxUnplannedDownFraction;
    });
}
