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

/** Number of failed VMs at which a wave is paused. */
const maxFailedVms = 2;
/** A wave is paused when this fraction of a pool's VMs, and at least two, are down without being drained by a wave. */
const maxUnplannedDownFraction = 0.5;

/** The input of a wave plan. */
interface WavePlanInput {
    readonly wave: Wave;
    /** All waves, this one included. */
    readonly waves: readonly Wave[];
    /** All VMs by name. */
    readonly fleet: ReadonlyMap<string, MaintenanceVm>;
    /** Disruption budgets by pool. */
    readonly budgets: ReadonlyMap<string, DisruptionBudget>;
    readonly timing: WaveTiming;
    /** Current time, wall clock, milliseconds. */
    readonly now: number;
}

/**
 * Plans the next steps of a wave. VMs whose maintenance has started proceed in every status of the wave. Further VMs
 * are drained only while the wave is running and within each pool's disruption budget, which also counts VMs that are
 * unavailable for other reasons.
 * @param input - the wave and the state it is planned with
 * @returns transitions to commit, the reason to pause the wave if there is one, and whether the wave is done
 */
export function planWave(input: WavePlanInput): WavePlan {
    const { wave } = input;
    const advances = [...wave.vms].flatMap(([vm, state]) => planTransition(input, vm, state) ?? []);
    const pause = wave.status === WaveStatus.Running ? findPauseReason(input, advances) : undefined;
    const mayDrain = wave.status === WaveStatus.Running && pause === undefined;
    const unavailable = listUnavailable(input.fleet.values(), input.waves);
    const drains = mayDrain ? pickVmsToDrain(wave, input.fleet, input.budgets, unavailable) : [];
    const transitions = [
        ...advances,
        ...drains.map(vm => (
            { vm, from: VmStep.Waiting, to: VmStep.Draining, incarnation: input.fleet.get(vm)?.incarnation ?? 0 }
        )),
    ];
    const isDone = transitions.length === 0 && [...wave.vms.values()].every(({ step }) => isTerminalStep(step));
    return { transitions, pause, isDone };
}

function isTerminalStep(step: VmStep): boolean {
    return step === VmStep.Done || step === VmStep.GivenUp;
}

function planTransition(
    input: WavePlanInput,
    vm: string,
    state: Wave["vms"] extends ReadonlyMap<string, infer V> ? V : never,
): WaveTransition | undefined {
    const { fleet, timing, now } = input;
    const current = fleet.get(vm);
    const elapsedMs = now - state.since;
    const { step: from, incarnation } = state;
    const hasReturned = current !== undefined && current.isReady && current.incarnation > incarnation;
    if (current === undefined && from !== VmStep.Done && from !== VmStep.GivenUp) {
        // The VM was removed from the tables, so its maintenance ends.
        return { vm, from, to: VmStep.GivenUp, incarnation };
    }
    switch (from) {
        case VmStep.Draining:
            return current?.isDrained === true
                ? { vm, from, to: VmStep.Rebooting, incarnation: current.incarnation }
                : undefined;
        case VmStep.Rebooting:
            if (hasReturned) {
                return { vm, from, to: VmStep.Probation, incarnation: current.incarnation };
            }
            return elapsedMs > timing.returnTimeoutMs ? { vm, from, to: VmStep.Failed, incarnation } : undefined;
        case VmStep.Probation:
            if (current?.isReady !== true) {
                return { vm, from, to: VmStep.Failed, incarnation };
            }
            return elapsedMs > timing.probationMs ? { vm, from, to: VmStep.Done, incarnation } : undefined;
        case VmStep.Failed:
            // A VM that returns after the timeout continues like one that returns in time.
            return hasReturned ? { vm, from, to: VmStep.Probation, incarnation: current.incarnation } : undefined;
        case VmStep.Waiting:
        case VmStep.Done:
        case VmStep.GivenUp:
            return undefined;
    }
}

function findPauseReason(input: WavePlanInput, advances: readonly WaveTransition[]): PauseReason | undefined {
    const newlyFailed = advances.filter(({ to }) => to === VmStep.Failed).length;
    const failed = [...input.wave.vms.values()].filter(({ step }) => step === VmStep.Failed).length;
    if (failed + newlyFailed >= maxFailedVms) {
        return PauseReason.TooManyFailedVms;
    }
    return isCorrelatedFailure(input) ? PauseReason.CorrelatedFailures : undefined;
}

/** Tells whether a pool of the wave has too many VMs that are down without being drained by a wave. */
function isCorrelatedFailure(input: WavePlanInput): boolean {
    const down = new Map<string, number>();
    for (const current of input.fleet.values()) {
        const isInMaintenance = input.waves.some(wave => {
            const state = wave.vms.get(current.vm);
            return state !== undefined && isStepUnavailable(state.step);
        });
        if (!current.isReady && !isInMaintenance) {
            down.set(current.pool, (down.get(current.pool) ?? 0) + 1);
        }
    }
    const pools = new Set([...input.wave.vms.keys()].map(vm => input.fleet.get(vm)?.pool));
    return [...down].some(([pool, count]) => {
        const budget = input.budgets.get(pool);
        return pools.has(pool) && budget !== undefined && count > 1 && count >= budget.vms * maxUnplannedDownFraction;
    });
}
