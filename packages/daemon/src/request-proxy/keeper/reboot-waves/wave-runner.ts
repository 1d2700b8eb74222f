import type { AllocationState } from "@daisylock/core/allocation/allocation-state.js";
import { allocationTiming } from "@daisylock/core/allocation/allocation-timing.js";
import { setCordonedTargets } from "@daisylock/core/allocation/set-cordoned-targets.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";
import { buildMaintenanceView } from "@daisylock/core/reboot-waves/build-maintenance-view.js";
import { isStepUnavailable } from "@daisylock/core/reboot-waves/is-step-unavailable.js";
import { planWave } from "@daisylock/core/reboot-waves/plan-wave.js";
import { VmStep } from "@daisylock/core/reboot-waves/vm-step.js";
import type { WavePlan } from "@daisylock/core/reboot-waves/wave-plan.js";
import { WaveStatus } from "@daisylock/core/reboot-waves/wave-status.js";
import type { WaveTiming } from "@daisylock/core/reboot-waves/wave-timing.js";
import type { Wave } from "@daisylock/core/reboot-waves/wave.js";

import type { Clock } from "../../../clock/clock.js";
import { waitFor } from "../../../concurrency/wait-for.js";
import type { EventLog } from "../../../events/event-log.js";
import { PeriodicWorker } from "../../../supervision/periodic-worker.js";
import type { Allocator } from "../allocator.js";
import type { Keeper } from "../keeper.js";
import type { Platform } from "./platform.js";

const intervalMs = 500;
/** Time for which a new leader collects reports of all targets before it decides which VMs are down, milliseconds. */
const leaderWarmUpMs = allocationTiming.warmUpMs + 4_000;

/** Dependencies of the wave runner. */
interface WaveRunnerDependencies {
    readonly keeper: Keeper;
    readonly allocator: Allocator;
    readonly platform: Platform | undefined;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly timing: WaveTiming;
}

/** Runs reboot waves while the keeper of this process is the leader. Commits every step before it executes it. */
export class WaveRunner extends PeriodicWorker {
    override readonly name = "maintainer";
    /** Operation ids of the reboots that the platform has confirmed to this process. */
    private readonly confirmedReboots = new Set<string>();

    /**
     * @param dependencies - keeper, allocator, platform, clock and timing
     */
    constructor(private readonly dependencies: WaveRunnerDependencies) {
        super(dependencies.clock);
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        const { keeper, allocator, clock } = this.dependencies;
        const allocation = allocator.readAllocationState();
        if (allocation === undefined) {
            return intervalMs;
        }
        const waves = [...keeper.readControl().waves.values()];
        setCordonedTargets(allocation, listCordonedVms(waves));
        if (clock.readMonotonic() - allocation.startedAt < leaderWarmUpMs) {
            return intervalMs;
        }
        for (const wave of waves) {
            if (isWaveActive(wave)) {
                yield* this.runWave(allocation, wave.id);
            }
        }
        return intervalMs;
    }

    private *runWave(allocation: AllocationState, waveId: string): Generator<unknown, void, unknown> {
        const { keeper, clock, timing } = this.dependencies;
        const waves = [...keeper.readControl().waves.values()];
        const wave = keeper.readControl().waves.get(waveId);
        if (wave === undefined) {
            return;
        }
        const { fleet, budgets } = buildMaintenanceView(allocation);
        const plan = planWave({ wave, waves, fleet, budgets, timing, now: clock.readWall() });
        const down = [...fleet.values()].filter(vm => !vm.isReady).map(({ vm }) => vm);
        yield* this.sendWavePlan(wave, plan, down);
        yield* this.sendReboots(waveId);
    }

    private *sendWavePlan(wave: Wave, plan: WavePlan, down: readonly string[]): Generator<unknown, void, unknown> {
        const { keeper, clock, events } = this.dependencies;
        const status = computeStatusChange(wave, plan);
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

    /** Requests every committed reboot until the platform confirms it; the operation id makes the request idempotent. */
    private *sendReboots(waveId: string): Generator<unknown, void, unknown> {
        const { keeper, platform, events } = this.dependencies;
        const wave = keeper.readControl().waves.get(waveId);
        for (const [vm, { step, since }] of wave?.vms ?? []) {
            const operationId = `${waveId}.${vm}.${since}`;
            if (step !== VmStep.Rebooting || this.confirmedReboots.has(operationId) || platform === undefined) {
                continue;
            }
            const result = yield* waitFor(platform.sendReboot(vm, operationId));
            if (result.isOk) {
                this.confirmedReboots.add(operationId);
                events.record(EventKind.RebootConfirmed, { vm, change: waveId });
            }
            if (!keeper.isActiveLeader()) {
                return;
            }
        }
    }
}

function isWaveActive(wave: Wave): boolean {
    // An aborted wave still completes the VMs whose maintenance has begun.
    const hasVmsInProgress = [...wave.vms.values()].some(({ step }) =>
        isStepUnavailable(step) || step === VmStep.Probation
    );
    return wave.status === WaveStatus.Running || wave.status === WaveStatus.Paused || hasVmsInProgress;
}

function listCordonedVms(waves: readonly Wave[]): Set<string> {
    const cordonedVms = new Set<string>();
    for (const wave of waves) {
        for (const [vm, { step }] of wave.vms) {
            if (step === VmStep.Draining || step === VmStep.Rebooting) {
                cordonedVms.add(vm);
            }
        }
    }
    return cordonedVms;
}

function computeStatusChange(wave: Wave, plan: WavePlan): WaveStatus | undefined {
    if (wave.status === WaveStatus.Running && plan.pause !== undefined) {
        return WaveStatus.Paused;
    }
    const isEndable = wave.status === WaveStatus.Running || wave.status === WaveStatus.Paused;
    return plan.isDone && isEndable ? WaveStatus.Done : undefined;
}
