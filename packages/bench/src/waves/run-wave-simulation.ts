import { computeMaxUnavailable } from "@daisylock/core/reboot-waves/compute-max-unavailable.js";
import type { DisruptionBudget } from "@daisylock/core/reboot-waves/disruption-budget.js";
import { isStepUnavailable } from "@daisylock/core/reboot-waves/is-step-unavailable.js";
import { listUnavailable } from "@daisylock/core/reboot-waves/list-unavailable.js";
import type { MaintenanceVm } from "@daisylock/core/reboot-waves/maintenance-vm.js";
import { planWave } from "@daisylock/core/reboot-waves/plan-wave.js";
import { VmStep } from "@daisylock/core/reboot-waves/vm-step.js";
import { WaveStatus } from "@daisylock/core/reboot-waves/wave-status.js";
import type { WaveVm } from "@daisylock/core/reboot-waves/wave-vm.js";
import type { Wave } from "@daisylock/core/reboot-waves/wave.js";
import { createRandom } from "@daisylock/core/testing/create-random.js";

import type { FleetShape } from "./fleet-shape.js";
import { SimulatedFleet } from "./simulated-fleet.js";
import { WavePolicy } from "./wave-policy.js";
import type { WaveSimulationResult } from "./wave-simulation-result.js";

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const stepMs = minuteMs;
const timing = { returnTimeoutMs: 30 * minuteMs, probationMs: 2 * minuteMs };
/** Mean minutes of drain (3) and reboot (5.5), plus 1 minute for rounding to simulation steps. */
const meanUnavailableMinutes = 3 + 5.5 + 1;
/** Virtual time limit of a simulation; its result says whether the wave was done by then. */
const maxHours = 8;

/**
 * Simulates a wave on a generated fleet under a virtual clock.
 * @param shape - size and layout of the fleet
 * @param policy - how the VMs to drain are picked
 * @param seed - seed of the random failures and durations
 * @returns the result
 */
export function runWaveSimulation(shape: FleetShape, policy: WavePolicy, seed: number): WaveSimulationResult {
    const simulation = new WaveSimulation(shape, policy, seed);
    while (!simulation.isDone() && simulation.now < maxHours * hourMs) {
        simulation.tick();
    }
    return simulation.buildResult();
}

/** Simulation of one wave on one fleet. */
class WaveSimulation {
    now = 0;
    private readonly fleet: SimulatedFleet;
    private readonly states = new Map<string, WaveVm>();
    private readonly budgets = new Map<string, DisruptionBudget>();
    private fleetView = new Map<string, MaintenanceVm>();
    private unavailableMs = 0;
    private overBudgetMs = 0;
    private breaches = 0;
    private planMs = 0;

    constructor(private readonly shape: FleetShape, private readonly policy: WavePolicy, seed: number) {
        this.fleet = new SimulatedFleet(shape, createRandom(seed));
        for (const { vm, pool } of this.fleet.vms) {
            this.states.set(vm, { step: VmStep.Waiting, since: 0, incarnation: 0 });
            const vms = (this.budgets.get(pool)?.vms ?? 0) + 1;
            this.budgets.set(pool, {
                pool,
                vms,
                maxUnavailable: computeMaxUnavailable(vms, shape.maxUnavailablePercent),
            });
        }
    }

    isDone(): boolean {
        return [...this.states.values()].every(({ step }) => step === VmStep.Done || step === VmStep.GivenUp);
    }

    tick(): void {
        this.now += stepMs;
        this.fleet.tick(this.now, stepMs);
        this.fleetView = new Map(
            this.fleet.vms.map(vm =>
                [vm.vm, this.fleet.readVm(vm, this.states.get(vm.vm) as WaveVm, this.now)] as const
            ),
        );
        const wave: Wave = { id: "w", status: WaveStatus.Running, startedAt: 0, vms: this.states };
        const planStartedAt = performance.now();
        const plan = planWave({
            wave,
            waves: [wave],
            fleet: this.fleetView,
            budgets: this.budgets,
            timing,
            now: this.now,
        });
        this.planMs = Math.max(this.planMs, performance.now() - planStartedAt);
        const isPlanned = this.policy === WavePolicy.Planned;
        const transitions = plan.transitions.filter(({ to }) => isPlanned || to !== VmStep.Draining);
        transitions.forEach(({ vm, to, incarnation }) => this.setStep(vm, to, incarnation));
        if (!isPlanned) {
            this.pickBaselineVms(wave).forEach(vm =>
                this.setStep(vm, VmStep.Draining, this.fleetView.get(vm)?.incarnation ?? 0)
            );
        }
        this.measureUnavailability(wave);
    }

    buildResult(): WaveSimulationResult {
        const hours = this.now / hourMs;
        const batches = [...this.budgets.values()].map(({ vms, maxUnavailable }) => Math.ceil(vms / maxUnavailable));
        const reservedVmHours = this.policy === WavePolicy.RackAtATime ? this.shape.vmsPerRack * hours : 0;
        return {
            fleet: this.shape.name,
            policy: this.policy,
            hours,
            isDone: this.isDone(),
            boundHours: Math.max(...batches) * meanUnavailableMinutes / 60,
            bufferPerThousand: 1_000 * (this.unavailableMs / hourMs + reservedVmHours) / (this.shape.vms * hours),
            overBudgetMinutes: this.overBudgetMs / minuteMs,
            breaches: this.breaches,
            planMs: this.planMs,
        };
    }

    private setStep(vm: string, step: VmStep, incarnation: number): void {
        this.states.set(vm, { step, since: this.now, incarnation });
        const simulated = this.fleet.vmsByName.get(vm);
        if (simulated !== undefined) {
            this.fleet.startStep(simulated, step, this.now);
        }
        if (step === VmStep.Draining && this.fleetView.get(vm)?.isReady === true) {
            this.checkBudget(this.fleetView.get(vm)?.pool ?? "");
        }
    }

    /** Counts a breach when more VMs of the pool are unavailable than its disruption budget allows. */
    private checkBudget(pool: string): void {
        const unavailable = this.countUnavailable(pool);
        if (unavailable > (this.budgets.get(pool)?.maxUnavailable ?? 0)) {
            this.breaches += 1;
        }
    }

    private countUnavailable(pool: string): number {
        let unavailable = 0;
        for (const view of this.fleetView.values()) {
            const step = this.states.get(view.vm)?.step ?? VmStep.Done;
            unavailable += view.pool === pool && (!view.isReady || isStepUnavailable(step)) ? 1 : 0;
        }
        return unavailable;
    }

    private pickBaselineVms(wave: Wave): string[] {
        const isUnavailable = ({ step }: WaveVm) => isStepUnavailable(step);
        const waiting = [...this.states].filter(([, { step }]) => step === VmStep.Waiting).map(([vm]) => vm);
        const isAnyUnavailable = [...this.states.values()].some(isUnavailable);
        if (this.policy === WavePolicy.OneAtATime) {
            return isAnyUnavailable ? [] : waiting.slice(0, 1);
        }
        if (this.policy === WavePolicy.RackAtATime) {
            const rack = this.fleetView.get(waiting[0] ?? "")?.rack;
            return isAnyUnavailable ? [] : waiting.filter(vm => this.fleetView.get(vm)?.rack === rack);
        }
        return this.pickGreedyVms(wave, waiting);
    }

    private pickGreedyVms(wave: Wave, waiting: readonly string[]): string[] {
        const remainingBudgets = new Map(
            [...this.budgets.values()].map(({ pool, maxUnavailable }) => [pool, maxUnavailable]),
        );
        for (const vm of listUnavailable(this.fleetView.values(), [wave])) {
            const pool = this.fleetView.get(vm)?.pool ?? "";
            remainingBudgets.set(pool, (remainingBudgets.get(pool) ?? 0) - 1);
        }
        return waiting.filter(vm => {
            const pool = this.fleetView.get(vm)?.pool ?? "";
            const remaining = remainingBudgets.get(pool) ?? 0;
            remainingBudgets.set(pool, remaining > 0 ? remaining - 1 : remaining);
            return remaining > 0;
        });
    }

    private measureUnavailability(wave: Wave): void {
        const unavailable = listUnavailable(this.fleetView.values(), [wave]);
        this.unavailableMs += unavailable.size * stepMs;
        const byPool = new Map<string, number>();
        for (const vm of unavailable) {
            const pool = this.fleetView.get(vm)?.pool ?? "";
            byPool.set(pool, (byPool.get(pool) ?? 0) + 1);
        }
        const isOver = [...byPool].some(([pool, count]) => count > (this.budgets.get(pool)?.maxUnavailable ?? 0));
        this.overBudgetMs += isOver ? stepMs : 0;
    }
}
