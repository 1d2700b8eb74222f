import { assertInvariant } from "../invariants/assert-invariant.js";
import { Invariant } from "../invariants/invariant.js";
import { computeMaxUnavailable } from "../reboot-waves/compute-max-unavailable.js";
import { isStepUnavailable } from "../reboot-waves/is-step-unavailable.js";
import { VmStep } from "../reboot-waves/vm-step.js";
import type { WaveTransition } from "../reboot-waves/wave-transition.js";
import type { Wave } from "../reboot-waves/wave.js";
import type { ControlState } from "./control-state.js";
import type { StepWaveCommand } from "./step-wave-command.js";

/**
 * Commits steps of a reboot wave. Skips a step if its VM is no longer in the step's initial state, or if draining the
 * VM would exceed the disruption budget of its pool.
 * @param state - the replicated state, changed in place
 * @param command - the steps, and the new status of the wave if any
 * @returns the steps that were committed
 */
export function applyStepWave(state: ControlState, command: StepWaveCommand): readonly WaveTransition[] {
    const wave = state.waves.get(command.waveId);
    if (wave === undefined) {
        return [];
    }
    const vms = new Map(wave.vms);
    const down = new Set(command.down);
    let next: Wave = { ...wave, vms };
    if (command.status !== undefined) {
        next = { ...next, status: command.status, pauseReason: command.pauseReason };
    }
    state.waves.set(wave.id, next);
    const committed = command.transitions.filter(transition => {
        const isCurrent = vms.get(transition.vm)?.step === transition.from;
        if (!isCurrent || (transition.to === VmStep.Draining && !isBudgetLeft(state, transition.vm, down))) {
            return false;
        }
        vms.set(transition.vm, { step: transition.to, since: command.at, incarnation: transition.incarnation });
        return true;
    });
    for (const { vm, to } of committed) {
        if (to === VmStep.Draining) {
            assertDisruptionBudget(state, vm, down);
        }
    }
    return committed;
}

/** Collects the unavailable VMs of a pool: those taken out of service by waves and those down for other reasons. */
function collectUnavailable(state: ControlState, pool: string, down: ReadonlySet<string>): Set<string> {
    const unavailableVms = new Set([...down].filter(vm => readPool(state, vm) === pool));
    for (const wave of state.waves.values()) {
        for (const [vm, { step }] of wave.vms) {
            if (isStepUnavailable(step) && readPool(state, vm) === pool) {
                unavailableVms.add(vm);
            }
        }
    }
    return unavailableVms;
}

function readPool(state: ControlState, vm: string): string | undefined {
    return state.tables.objects.vm.get(vm)?.value.pool;
}

function readMaxUnavailable(state: ControlState, pool: string): number {
    const percent = state.tables.objects.pool.get(pool)?.value.maxUnavailablePercent ?? 0;
    const vms = [...state.tables.objects.vm.values()].filter(vm => vm.value.pool === pool).length;
    return computeMaxUnavailable(vms, percent);
}

function isBudgetLeft(state: ControlState, vm: string, down: ReadonlySet<string>): boolean {
    const pool = readPool(state, vm);
    if (pool === undefined) {
        return false;
    }
    const unavailableVms = collectUnavailable(state, pool, down);
    return unavailableVms.has(vm) || unavailableVms.size < readMaxUnavailable(state, pool);
}

/**
 * Checks the disruption budget of the pool of a VM that is now draining. VMs that are down for other reasons may exceed
 * the budget, so a VM that was down already is exempt, and so is a pool in which no wave has made a VM unavailable.
 */
function assertDisruptionBudget(state: ControlState, vm: string, down: ReadonlySet<string>): void {
    const pool = readPool(state, vm) ?? "";
    const unavailableVms = collectUnavailable(state, pool, down);
    const waveDisruptionCount = [...unavailableVms].filter(other => !down.has(other)).length;
    assertInvariant(
        waveDisruptionCount === 0 || down.has(vm) || unavailableVms.size <= readMaxUnavailable(state, pool),
        Invariant.BudgetKept,
        () =>
            `pool ${pool} has ${unavailableVms.size} unavailable VMs, more than ${
                readMaxUnavailable(state, pool)
            }, after draining ${vm}`,
    );
}
