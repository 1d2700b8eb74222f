import { computeBudget } from "@daisylock/core/maintenance/compute-budget.js";
import type { FleetVm } from "@daisylock/core/maintenance/fleet-vm.js";
import { isStepUnavailable } from "@daisylock/core/maintenance/is-step-unavailable.js";
import { listUnavailable } from "@daisylock/core/maintenance/list-unavailable.js";
import { planWave } from "@daisylock/core/maintenance/plan-wave.js";
import type { PoolBudget } from "@daisylock/core/maintenance/pool-budget.js";
import { VmStep } from "@daisylock/core/maintenance/vm-step.js";
import { WaveStatus } from "@daisylock/core/maintenance/wave-status.js";
import type { WaveVm } from "@daisylock/core/maintenance/wave-vm.js";
import type { Wave } from "@daisylock/core/maintenance/wave.js";
import { createRandom } from "@daisylock/core/testing/create-random.js";

import type { FleetShape } from "./fleet-shape.js";
import { SimulatedFleet } from "./simulated-fleet.js";
import type { WaveOutcome } from "./wave-outcome.js";
import { WavePolicy } from "./wave-policy.js";

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const stepMs = minuteMs;
const timing = { returnMs: 30 * minuteMs, probationMs: 2 * minuteMs };
/** Mean of drain, reboot and the rounding to steps. */
const meanOutMinutes = 3 + 5.5 + 1;
/** Virtual time after which a run ends; its outcome says whether the wave was done. */
const maxHours = 8;

/**
 * Runs a wave over a generated fleet with a fake platform under a virtual clock.
 * @param shape - the fleet
 * @param policy - how VMs are taken out
 * @param seed - seed of failures and times
 * @returns how it went
 */
export function runWave(shape: FleetShape, policy: WavePolicy, seed: number): WaveOutcome {
    const run = new WaveRun(shape, policy, seed);
    while (!run.isDone() && run.now < maxHours * hourMs) {
        run.tick();
    }
    return run.readOutcome();
}

/** One wave under way. */
class WaveRun {
    now = 0;
    private readonly fleet: SimulatedFleet;
    private readonly states = new Map<string, WaveVm>();
    private readonly budgets = new Map<string, PoolBudget>();
    private view = new Map<string, FleetVm>();
    private outMs = 0;
    private overBudgetMs = 0;
    private breaches = 0;
    private planMs = 0;

    constructor(private readonly shape: FleetShape, private readonly policy: WavePolicy, seed: number) {
        this.fleet = new SimulatedFleet(shape, createRandom(seed));
        for (const { vm, pool } of this.fleet.vms) {
            this.states.set(vm, { step: VmStep.Waiting, since: 0, incarnation: 0 });
            const vms = (this.budgets.get(pool)?.vms ?? 0) + 1;
            this.budgets.set(pool, { pool, vms, maxUnavailable: computeBudget(vms, shape.maxUnavailablePercent) });
        }
    }

    isDone(): boolean {
        return [...this.states.values()].every(({ step }) => step === VmStep.Done || step === VmStep.GivenUp);
    }

    tick(): void {
        this.now += stepMs;
        this.fleet.tick(this.now, stepMs);
        this.view = new Map(
            this.fleet.vms.map(vm =>
                [vm.vm, this.fleet.readVm(vm, this.states.get(vm.vm) as WaveVm, this.now)] as const
            ),
        );
        const wave: Wave = { id: "w", status: WaveStatus.Running, startedAt: 0, vms: this.states };
        const startedAt = performance.now();
        const plan = planWave({
            wave,
            waves: [wave],
            fleet: this.view,
            budgets: this.budgets,
            timing,
            now: this.now,
        });
        this.planMs = Math.max(this.planMs, performance.now() - startedAt);
        const isPlanned = this.policy === WavePolicy.Planned;
        const advances = plan.transitions.filter(({ to }) => isPlanned || to !== VmStep.Draining);
        advances.forEach(({ vm, to, incarnation }) => this.setStep(vm, to, incarnation));
        if (!isPlanned) {
            this.pickBaseline(wave).forEach(vm =>
                this.setStep(vm, VmStep.Draining, this.view.get(vm)?.incarnation ?? 0)
            );
        }
        this.measure(wave);
    }

    readOutcome(): WaveOutcome {
        const hours = this.now / hourMs;
        const batches = [...this.budgets.values()].map(({ vms, maxUnavailable }) => Math.ceil(vms / maxUnavailable));
        const setAside = this.policy === WavePolicy.RackAtATime ? this.shape.vmsPerRack * hours : 0;
        return {
            fleet: this.shape.name,
            policy: this.policy,
            hours,
            isDone: this.isDone(),
            boundHours: Math.max(...batches) * meanOutMinutes / 60,
            bufferPerThousand: 1_000 * (this.outMs / hourMs + setAside) / (this.shape.vms * hours),
            overBudgetMinutes: this.overBudgetMs / minuteMs,
            breaches: this.breaches,
            planMs: this.planMs,
        };
    }

    private setStep(vm: string, step: VmStep, incarnation: number): void {
        this.states.set(vm, { step, since: this.now, incarnation });
        const simulated = this.fleet.byName.get(vm);
        if (simulated !== undefined) {
            this.fleet.startStep(simulated, step, this.now);
        }
        if (step === VmStep.Draining && this.view.get(vm)?.isReady === true) {
            this.noteDecision(this.view.get(vm)?.pool ?? "");
        }
    }

    private noteDecision(pool: string): void {
        const out = this.countOut(pool);
        if (out > (this.budgets.get(pool)?.maxUnavailable ?? 0)) {
            this.breaches += 1;
        }
    }

    private countOut(pool: string): number {
        let out = 0;
        for (const seen of this.view.values()) {
            const step = this.states.get(seen.vm)?.step ?? VmStep.Done;
            out += seen.pool === pool && (!seen.isReady || isStepUnavailable(step)) ? 1 : 0;
        }
        return out;
    }

    private pickBaseline(wave: Wave): string[] {
        const isOut = ({ step }: WaveVm) => isStepUnavailable(step);
        const waiting = [...this.states].filter(([, { step }]) => step === VmStep.Waiting).map(([vm]) => vm);
        const isAnyOut = [...this.states.values()].some(isOut);
        if (this.policy === WavePolicy.OneAtATime) {
            return isAnyOut ? [] : waiting.slice(0, 1);
        }
        if (this.policy === WavePolicy.RackAtATime) {
            const rack = this.view.get(waiting[0] ?? "")?.rack;
            return isAnyOut ? [] : waiting.filter(vm => this.view.get(vm)?.rack === rack);
        }
        return this.pickGreedy(wave, waiting);
    }

    private pickGreedy(wave: Wave, waiting: readonly string[]): string[] {
        const room = new Map([...this.budgets.values()].map(({ pool, maxUnavailable }) => [pool, maxUnavailable]));
        for (const vm of listUnavailable(this.view.values(), [wave])) {
            const pool = this.view.get(vm)?.pool ?? "";
            room.set(pool, (room.get(pool) ?? 0) - 1);
        }
        return waiting.filter(vm => {
            const pool = this.view.get(vm)?.pool ?? "";
            const left = room.get(pool) ?? 0;
            room.set(pool, left > 0 ? left - 1 : left);
            return left > 0;
        });
    }

    private measure(wave: Wave): void {
        const out = listUnavailable(this.view.values(), [wave]);
        this.outMs += out.size * stepMs;
        const byPool = new Map<string, number>();
        for (const vm of out) {
            const pool = this.view.get(vm)?.pool ?? "";
            byPool.set(pool, (byPool.get(pool) ?? 0) + 1);
        }
        const isOver = [...byPool].some(([pool, count]) => count > (this.budgets.get(pool)?.maxUnavailable ?? 0));
        this.overBudgetMs += isOver ? stepMs : 0;
    }
}
