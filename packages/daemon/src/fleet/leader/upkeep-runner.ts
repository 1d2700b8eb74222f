import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";
import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { encodeTaskKey } from "@daisylock/core/jobs/encode-task-key.js";
import type { TaskKey } from "@daisylock/core/jobs/task-key.js";
import { TaskPhase } from "@daisylock/core/jobs/task-phase.js";
import { buildStepName } from "@daisylock/core/placement/build-step-name.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import { isVmDown } from "@daisylock/core/upkeep/is-vm-down.js";
import { isWaveCompleted } from "@daisylock/core/upkeep/is-wave-completed.js";
import { planUpkeep } from "@daisylock/core/upkeep/plan-upkeep.js";
import type { UpkeepRun } from "@daisylock/core/upkeep/upkeep-run.js";
import type { UpkeepVm } from "@daisylock/core/upkeep/upkeep-vm.js";
import type { UpkeepWave } from "@daisylock/core/upkeep/upkeep-wave.js";

import type { Clock } from "../../clock/clock.js";
import { waitFor } from "../../concurrency/wait-for.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { DecisionKind } from "../log/decision-kind.js";
import type { DecisionLog } from "../log/decision-log.js";
import type { VmAuthority } from "../vms/vm-authority.js";
import { VmOrderResult } from "../vms/vm-order-result.js";
import type { VmService } from "../vms/vm-service.js";
import { VmState } from "../vms/vm-state.js";
import type { Leadership } from "./leadership.js";
import type { TargetSessions } from "./target-sessions.js";
import type { VmAuthorityGate } from "./vm-authority-gate.js";

const intervalMs = 150;
const idleIntervalMs = 500;
/** Progress at which a long-running task is at work. */
const atWorkPercent = 100;
/** Time before a VM is tried again that the platform could not maintain; its place in the wave goes to another. */
const busyMs = 1_500;

/** What the runner needs. */
interface UpkeepSurroundings {
    readonly leadership: Leadership;
    readonly sessions: TargetSessions;
    readonly vms: VmService;
    readonly log: DecisionLog;
    readonly clock: Clock;
    readonly gate: VmAuthorityGate;
    /** Whether a VM is on its way to another pool. */
    readonly isMoving: (vm: string) => boolean;
    readonly upkeepMs: number;
}

/** Carries out waves of maintenance while this process leads. */
export class UpkeepRunner extends PeriodicWorker {
    override readonly name = "upkeep-runner";
    private token = 0;
    /** Until when a VM is not tried again, wall clock. */
    private readonly busyUntil = new Map<string, number>();
    /** When the newest maintenance of a VM was ordered, wall clock. */
    private readonly down = new Map<string, number>();
    /** Since when a VM is being emptied, wall clock. */
    private emptying = new Map<string, number>();
    private emptyingTargets: ReadonlySet<string> = new Set();

    /**
     * @param surroundings - what the runner needs
     */
    constructor(private readonly surroundings: UpkeepSurroundings) {
        super(surroundings.clock);
    }

    /**
     * Tells whether a target is being emptied for maintenance.
     * @param target - its id
     * @returns true while nothing may be started there
     */
    isEvacuating(target: string): boolean {
        return this.emptyingTargets.has(target);
    }

    /**
     * Tells whether a VM is down for maintenance or being emptied for it.
     * @param vm - the VM
     * @returns true while it may not be moved
     */
    isMaintained(vm: string): boolean {
        return this.isDown(vm) || this.emptying.has(vm);
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        const { leadership } = this.surroundings;
        const fleet = leadership.readFleet();
        const waves = [...fleet.upkeep.values()].filter(wave => !isWaveCompleted(wave));
        if (!leadership.isDeciding() || waves.length === 0) {
            this.setEmptying(fleet, new Map());
            return idleIntervalMs;
        }
        const authority = this.surroundings.gate.readAuthority();
        if (authority === undefined) {
            return intervalMs;
        }
        this.noteLeadership(authority);
        const emptying = new Map<string, number>();
        for (const wave of waves) {
            yield* this.runWave(fleet, wave, emptying);
        }
        this.setEmptying(fleet, emptying);
        return intervalMs;
    }

    /** What an earlier leader began is read from the platform. */
    private noteLeadership(authority: VmAuthority): void {
        if (authority.fencingToken === this.token) {
            return;
        }
        const { gate, clock } = this.surroundings;
        this.token = authority.fencingToken;
        this.down.clear();
        gate.readVms().filter(({ state }) => state === VmState.Upkeep)
            .forEach(({ vm }) => this.down.set(vm, clock.readWall()));
    }

    private *runWave(
        fleet: FleetState,
        wave: UpkeepWave,
        emptying: Map<string, number>,
    ): Generator<unknown, void, unknown> {
        const { clock, sessions, upkeepMs, leadership, gate, isMoving } = this.surroundings;
        const now = clock.readWall();
        const targets = collectByVm(fleet);
        const plan = planUpkeep({
            cap: wave.cap,
            deadlineAtMs: wave.deadlineAtMs,
            downCount: wave.vms.filter(vm => this.isDown(vm)).length,
            waiting: wave.vms.filter(vm =>
                !wave.done.includes(vm) && !isMoving(vm) && gate.isFree(vm) && now >= (this.busyUntil.get(vm) ?? 0)
            ).map(vm => this.buildVm(fleet, vm, targets.get(vm))),
            upkeepMs,
            now,
        });
        plan.emptying.forEach(vm => emptying.set(vm, this.emptying.get(vm) ?? now));
        for (const { target, run } of this.pickStops(fleet, plan.stops)) {
            sessions.find(target)?.stopTask(run.task, run.run);
        }
        if (leadership.isDeciding()) {
            yield* waitFor(Promise.all(plan.orders.map(vm => this.startUpkeep(wave, vm, targets.get(vm)))));
        }
    }

    /** Of one step, one long-running task at a time; whether the step can do without the next is seen afterwards. */
    private pickStops(
        fleet: FleetState,
        stops: readonly { target: string; run: UpkeepRun }[],
    ): { target: string; run: UpkeepRun }[] {
        const steps = new Set<string>();
        return stops.filter(({ run }) => {
            const key = decodeTaskKey(run.task);
            const name = key === undefined ? run.task : buildStepName(key.job, key.occurrence, key.step);
            const isFirst = !run.isLongRunning || !steps.has(name);
            steps.add(name);
            return isFirst;
        });
    }

    private async startUpkeep(
        wave: UpkeepWave,
        vm: string,
        target: TargetRecord | undefined,
    ): Promise<void> {
        const { vms, gate, leadership, log, clock } = this.surroundings;
        const authority = gate.readAuthority();
        if (authority === undefined) {
            return;
        }
        const token = authority.fencingToken;
        const pool = target?.pool ?? "";
        await leadership.recordCommand({
            kind: CommandKind.RecordMove,
            vm,
            from: pool,
            to: pool,
            token,
            holder: gate.readHolder(),
            atMs: clock.readWall(),
        });
        if (gate.readAuthority()?.fencingToken !== token) {
            return;
        }
        const result = await vms.startUpkeep(vm, wave.number, authority);
        const listed = gate.readVms().find(view => view.vm === vm);
        const isGone = result === VmOrderResult.Busy && listed === undefined;
        const isOver = result === VmOrderResult.Done || result === VmOrderResult.Unknown
            || result === VmOrderResult.NotOfWave || isGone;
        if (result === VmOrderResult.Busy) {
            this.busyUntil.set(vm, clock.readWall() + busyMs);
        }
        log.note(isOver ? DecisionKind.UpkeepOrdered : DecisionKind.UpkeepDelayed, {
            wave: wave.number,
            vm,
            result,
            target: target?.id,
            token: this.token,
            listed: listed?.state ?? "not listed",
        });
        if (result === VmOrderResult.Done || result === VmOrderResult.Unanswered) {
            this.down.set(vm, clock.readWall());
        }
        if (!isOver) {
            return;
        }
        await leadership.recordCommand({ kind: CommandKind.RecordUpkeep, wave: wave.number, vm });
        if (target !== undefined && result === VmOrderResult.Done) {
            const { id, incarnation } = target;
            const atMs = clock.readWall();
            await leadership.recordCommand({ kind: CommandKind.RemoveTarget, id, incarnation, atMs });
        }
    }

    private buildVm(fleet: FleetState, vm: string, target: TargetRecord | undefined): UpkeepVm {
        const runs = target === undefined ? [] : [...fleet.targetLoads.get(target.id)?.runs ?? []];
        return {
            vm,
            target: target?.id,
            runs: runs.flatMap(([task, run]) => this.buildRun(fleet, task, run)),
            emptyingSince: this.emptying.get(vm),
        };
    }

    private buildRun(fleet: FleetState, task: string, run: number): UpkeepRun[] {
        const key = decodeTaskKey(task);
        const step = key === undefined ? undefined : fleet.jobs.get(key.job)?.steps[key.step];
        if (key === undefined || step === undefined) {
            return [];
        }
        const { isLongRunning, hasCheckpoints } = step;
        const isDispensable = isLongRunning && this.isDispensable(fleet, key, step.mayMiss);
        return [{ task, run, isLongRunning, hasCheckpoints, isDispensable }];
    }

    private isDispensable(fleet: FleetState, key: TaskKey, mayMiss: number | undefined): boolean {
        const tasks = fleet.jobs.get(key.job)?.occurrences[key.occurrence]?.[key.step]?.tasks ?? [];
        const othersAway = tasks.filter((task, index) => {
            const name = encodeTaskKey({ ...key, index });
            const session = this.surroundings.sessions.find(task.target);
            const seen = session?.running.get(name);
            const isAtWork = task.phase === TaskPhase.Placed && seen?.run === task.run
                && seen.percent >= atWorkPercent && session?.isStopping(name, task.run) === false;
            return index !== key.index && !isAtWork;
        });
        return othersAway.length < (mayMiss ?? tasks.length);
    }

    private isDown(vm: string): boolean {
        const { leadership, clock, upkeepMs } = this.surroundings;
        const orderedAtMs = this.down.get(vm);
        if (orderedAtMs === undefined) {
            return false;
        }
        const target = [...leadership.readFleet().targets.values()].find(record => record.vm === vm);
        return isVmDown({ orderedAtMs, nowMs: clock.readWall(), upkeepMs, incarnation: target?.incarnation ?? 0 });
    }

    private setEmptying(fleet: FleetState, emptying: Map<string, number>): void {
        this.emptying = emptying;
        const targets = collectByVm(fleet);
        this.emptyingTargets = new Set([...emptying.keys()].flatMap(vm => targets.get(vm)?.id ?? []));
    }
}

function collectByVm(fleet: FleetState): Map<string, TargetRecord> {
    return new Map([...fleet.targets.values()].map(target => [target.vm, target]));
}
