import { allocationTiming } from "@daisylock/core/allocation/allocation-timing.js";
import type { LeaderState } from "@daisylock/core/allocation/leader-state.js";
import { setWithheld } from "@daisylock/core/allocation/set-withheld.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";
import { buildFleet } from "@daisylock/core/maintenance/build-fleet.js";
import { isStepUnavailable } from "@daisylock/core/maintenance/is-step-unavailable.js";
import { planWave } from "@daisylock/core/maintenance/plan-wave.js";
import { VmStep } from "@daisylock/core/maintenance/vm-step.js";
import type { WavePlan } from "@daisylock/core/maintenance/wave-plan.js";
import { WaveStatus } from "@daisylock/core/maintenance/wave-status.js";
import type { WaveTiming } from "@daisylock/core/maintenance/wave-timing.js";
import type { Wave } from "@daisylock/core/maintenance/wave.js";

import type { Clock } from "../../../clock/clock.js";
import { waitFor } from "../../../concurrency/wait-for.js";
import type { EventLog } from "../../../events/event-log.js";
import { PeriodicWorker } from "../../../supervision/periodic-worker.js";
import type { Allocator } from "../allocator.js";
import type { Keeper } from "../keeper.js";
import type { Platform } from "./platform.js";

const intervalMs = 500;
/** Time in which a new leader hears every target before it judges which are down. */
const hearingMs = allocationTiming.settling + 4_000;

/** What maintenance needs of its surroundings. */
interface MaintenanceSurroundings {
    readonly keeper: Keeper;
    readonly allocator: Allocator;
    readonly platform: Platform | undefined;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly timing: WaveTiming;
}

/** Carries waves forward while this process's keeper leads. Every step is committed before it is carried out. */
export class Maintainer extends PeriodicWorker {
    override readonly name = "maintainer";
    /** Reboots that the platform has confirmed to this process. */
    private readonly confirmed = new Set<string>();

    /**
     * @param surroundings - keeper, platform and clock
     */
    constructor(private readonly surroundings: MaintenanceSurroundings) {
        super(surroundings.clock);
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        const { keeper, allocator, clock } = this.surroundings;
        const leader = allocator.readLeader();
        if (leader === undefined) {
            return intervalMs;
        }
        const waves = [...keeper.readControl().waves.values()];
        setWithheld(leader, listWithheld(waves));
        if (clock.readMonotonic() - leader.startedAt < hearingMs) {
            return intervalMs;
        }
        for (const wave of waves) {
            if (isOpen(wave)) {
                yield* this.runWave(leader, wave.id);
            }
        }
        return intervalMs;
    }

    private *runWave(leader: LeaderState, waveId: string): Generator<unknown, void, unknown> {
        const { keeper, clock, timing } = this.surroundings;
        const waves = [...keeper.readControl().waves.values()];
        const wave = keeper.readControl().waves.get(waveId);
        if (wave === undefined) {
            return;
        }
        const { fleet, budgets } = buildFleet(leader);
        const plan = planWave({ wave, waves, fleet, budgets, timing, now: clock.readWall() });
        const down = [...fleet.values()].filter(vm => !vm.isReady).map(({ vm }) => vm);
        yield* this.sendPlan(wave, plan, down);
        yield* this.sendReboots(waveId);
    }

    private *sendPlan(wave: Wave, plan: WavePlan, down: readonly string[]): Generator<unknown, void, unknown> {
        const { keeper, clock, events } = this.surroundings;
        const status = readStatus(wave, plan);
        if (plan.transitions.length === 0 && status === undefined) {
            return;
        }
        const result = yield* waitFor(keeper.sendCommand({
            kind: CommandKind.StepWave,
            waveId: wave.id,
            transitions: plan.transitions,
            down,
            status,
            pauseReason: plan.pause,
            at: clock.readWall(),
        }));
        if (result.isErr) {
            return;
        }
        for (const { vm, to } of result.value) {
            events.record(EventKind.WaveStep, { vm, change: wave.id, detail: to });
        }
        if (status !== undefined) {
            events.record(EventKind.WaveStatus, { change: wave.id, detail: `${status} ${plan.pause ?? ""}`.trim() });
        }
    }

    /** Asks for every reboot that was committed until the platform confirms it; the operation's id makes that safe. */
    private *sendReboots(waveId: string): Generator<unknown, void, unknown> {
        const { keeper, platform, events } = this.surroundings;
        const wave = keeper.readControl().waves.get(waveId);
        for (const [vm, { step, since }] of wave?.vms ?? []) {
            const operationId = `${waveId}.${vm}.${since}`;
            if (step !== VmStep.Rebooting || this.confirmed.has(operationId) || platform === undefined) {
                continue;
            }
            const result = yield* waitFor(platform.sendReboot(vm, operationId));
            if (result.isOk) {
                this.confirmed.add(operationId);
                events.record(EventKind.RebootConfirmed, { vm, change: waveId });
            }
            if (!keeper.isDeciding()) {
                return;
            }
        }
    }
}

function isOpen(wave: Wave): boolean {
    // An aborted wave still finishes the VMs that it has taken out.
    const isBegun = [...wave.vms.values()].some(({ step }) => isStepUnavailable(step) || step === VmStep.Probation);
    return wave.status === WaveStatus.Running || wave.status === WaveStatus.Paused || isBegun;
}

function listWithheld(waves: readonly Wave[]): Set<string> {
    const withheld = new Set<string>();
    for (const wave of waves) {
        for (const [vm, { step }] of wave.vms) {
            if (step === VmStep.Draining || step === VmStep.Rebooting) {
                withheld.add(vm);
            }
        }
    }
    return withheld;
}

function readStatus(wave: Wave, plan: WavePlan): WaveStatus | undefined {
    if (wave.status === WaveStatus.Running && plan.pause !== undefined) {
        return WaveStatus.Paused;
    }
    const isEndable = wave.status === WaveStatus.Running || wave.status === WaveStatus.Paused;
    return plan.isDone && isEndable ? WaveStatus.Done : undefined;
}
