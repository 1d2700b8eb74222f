import { readConfigurationIndex } from "@daisylock/core/configuration/read-configuration-index.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";
import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { encodeTaskKey } from "@daisylock/core/jobs/encode-task-key.js";
import type { TaskKey } from "@daisylock/core/jobs/task-key.js";
import { TaskPhase } from "@daisylock/core/jobs/task-phase.js";
import type { TaskRecord } from "@daisylock/core/jobs/task-record.js";
import { anyResources } from "@daisylock/core/placement/any-resources.js";
import { buildPlacementTargets } from "@daisylock/core/placement/build-placement-targets.js";
import { encodeStepKey } from "@daisylock/core/placement/encode-step-key.js";
import { parseStepKey } from "@daisylock/core/placement/parse-step-key.js";
import { RoomFinder } from "@daisylock/core/placement/room-finder.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import type { AffectedRun } from "@daisylock/core/vm-maintenance/affected-run.js";
import { isVmDown } from "@daisylock/core/vm-maintenance/is-vm-down.js";
import { isWaveCompleted } from "@daisylock/core/vm-maintenance/is-wave-completed.js";
import type { MaintenanceCandidate } from "@daisylock/core/vm-maintenance/maintenance-candidate.js";
import type { MaintenanceWave } from "@daisylock/core/vm-maintenance/maintenance-wave.js";
import { planMaintenance } from "@daisylock/core/vm-maintenance/plan-maintenance.js";

import { InvariantViolation } from "@daisylock/core/invariants/invariant-violation.js";
import type { Clock } from "../../clock/clock.js";
import { waitFor } from "../../concurrency/wait-for.js";
import { runContained } from "../../containment/run-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { createFaultListener } from "../logging/create-fault-listener.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { VmLease } from "../vms/vm-lease.js";
import { VmRequestResult } from "../vms/vm-request-result.js";
import type { VmService } from "../vms/vm-service.js";
import { VmState } from "../vms/vm-state.js";
import type { Leadership } from "./leadership.js";
import type { TargetSession } from "./target-session.js";
import type { VmLeaseTracker } from "./vm-lease-tracker.js";

const intervalMs = 150;
const idleIntervalMs = 500;
/** Progress in percent at which a long-running task counts as ready. */
const readyPercent = 100;
/** Delay before maintenance of a busy VM is requested again, milliseconds; another VM of the wave goes first. */
const busyRetryDelayMs = 1_500;
/** Time for which a wave waits after a fault, milliseconds. */
const faultDelayMs = 1_000;
/** Time for which a VM that cannot be emptied is not drained, milliseconds: for the tasks that waited to start there. */
const postponementMs = 5_000;

/** The sessions as far as the maintenance runner needs them. */
interface SessionRegistry {
    readonly find: (
        target: string,
    ) => Pick<TargetSession, "running" | "isStopping" | "stopTask" | "countStartsLeft"> | undefined;
}

/** Dependencies of the maintenance runner. */
interface MaintenanceDependencies {
    readonly leadership: Leadership;
    readonly sessions: SessionRegistry;
    readonly vms: VmService;
    readonly log: Pick<DecisionLog, "record">;
    readonly clock: Clock;
    readonly vmLeases: VmLeaseTracker;
    /** Whether a VM is being moved to another pool. */
    readonly isMoving: (vm: string) => boolean;
    /** Whether a VM takes no start, as another pool needs it once it is empty. */
    readonly isClosed: (vm: string) => boolean;
    /** Time that a VM is down for maintenance, milliseconds. */
    readonly maintenanceMs: number;
}

/** Latest request for the maintenance of a VM. */
interface MaintenanceRequest {
    /** Monotonic milliseconds, as the wall clock may jump. */
    readonly at: number;
    /** Incarnation of the target that was recorded on the VM; `undefined` for none. */
    readonly incarnation: number | undefined;
}

/** Runs waves of VM maintenance while this process is the active leader. */
export class MaintenanceRunner extends PeriodicWorker {
    override readonly name = "upkeep-runner";
    private token = 0;
    /** Time until which a wave waits after a fault, monotonic milliseconds, by number. */
    private readonly faultyUntil = new Map<number, number>();
    /** Earliest time at which maintenance of a VM is requested again, monotonic milliseconds. */
    private readonly retryAt = new Map<string, number>();
    /** When the first of the latest requests that all found a VM busy was sent, monotonic milliseconds. */
    private readonly busySince = new Map<string, number>();
    private readonly requestedMaintenance = new Map<string, MaintenanceRequest>();
    /** Number of long-running tasks on a VM of a wave, and since when it is the same, monotonic milliseconds. */
    private readonly longRunningCounts = new Map<string, { readonly count: number; readonly since: number }>();
    /** Since when a VM has been draining, monotonic milliseconds. */
    private drainingSince = new Map<string, number>();
    /** Fencing token of the leadership that drains these VMs. */
    private drainingToken = 0;

    /**
     * @param dependencies - leadership, sessions, VM service, clock and log
     */
    constructor(private readonly dependencies: MaintenanceDependencies) {
        super(dependencies.clock);
    }

    /**
     * Tells whether a target is being drained for maintenance.
     * @param target - id of the target
     * @returns true while no task may be started on it
     */
    isDraining(target: string): boolean {
        const vm = this.dependencies.leadership.readFleet().targets.get(target)?.vm;
        return vm !== undefined && this.drainingSince.has(vm);
    }

    /**
     * Tells whether a VM is down for maintenance or being drained for it.
     * @param vm - the VM
     * @returns true while it may not be moved
     */
    isInMaintenance(vm: string): boolean {
        return this.isDown(vm) || this.drainingSince.has(vm);
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        const { leadership } = this.dependencies;
        const fleet = leadership.readFleet();
        const waves = [...fleet.maintenanceWaves.values()].filter(wave => !isWaveCompleted(wave));
        const token = leadership.readFencingToken();
        if (waves.length === 0 || token !== this.drainingToken) {
            this.drainingSince = new Map();
            this.drainingToken = token;
        }
        if (waves.length === 0) {
            this.longRunningCounts.clear();
            return idleIntervalMs;
        }
        // A lapsed lease may be valid again at once, so that the VMs stay cordoned meanwhile.
        const lease = this.dependencies.vmLeases.readLease();
        if (lease === undefined) {
            return intervalMs;
        }
        this.noteLeadership(lease);
        const draining = new Map<string, number>();
        for (const wave of waves) {
            yield* this.runWaveContained(fleet, wave, draining);
        }
        this.drainingSince = draining;
        return intervalMs;
    }

    /** Reads from the VM service which VMs an earlier leader has put into maintenance. */
    private noteLeadership(lease: VmLease): void {
        if (lease.fencingToken === this.token) {
            return;
        }
        const { vmLeases } = this.dependencies;
        this.token = lease.fencingToken;
        this.busySince.clear();
        this.requestedMaintenance.clear();
        vmLeases.readVms().filter(({ state }) => state === VmState.Maintenance)
            .forEach(({ vm }) => this.noteRequest(vm));
    }

    /** After a fault, the wave waits for a while; VMs that drain for it stay cordoned meanwhile. */
    private *runWaveContained(
        fleet: FleetState,
        wave: MaintenanceWave,
        draining: Map<string, number>,
    ): Generator<unknown, void, unknown> {
        const { log, clock } = this.dependencies;
        if (clock.readMonotonic() < (this.faultyUntil.get(wave.number) ?? 0)) {
            this.restoreDraining(wave, draining);
            return;
        }
        try {
            yield* this.runWave(fleet, wave, draining);
        }
        catch (error) {
            if (error instanceof InvariantViolation) {
                throw error;
            }
            createFaultListener(log)({ work: WorkKind.VmMaintenance, subject: `wave ${wave.number}`, error });
            this.faultyUntil.set(wave.number, clock.readMonotonic() + faultDelayMs);
            this.restoreDraining(wave, draining);
        }
    }

    private restoreDraining({ vms }: MaintenanceWave, draining: Map<string, number>): void {
        for (const vm of vms) {
            const since = this.drainingSince.get(vm);
            if (since !== undefined) {
                draining.set(vm, since);
            }
        }
    }

    private *runWave(
        fleet: FleetState,
        wave: MaintenanceWave,
        draining: Map<string, number>,
    ): Generator<unknown, void, unknown> {
        const { clock, sessions, maintenanceMs, leadership, vmLeases, isMoving, log } = this.dependencies;
        const now = clock.readMonotonic();
        const targets = collectTargetsByVm(fleet);
        const plan = planMaintenance({
            cap: wave.cap,
            deadlineAt: now + wave.deadlineAtMs - clock.readWall(),
            downCount: wave.vms.filter(vm => this.isDown(vm)).length,
            waiting: wave.vms.filter(vm =>
                !wave.done.includes(vm) && !isMoving(vm) && vmLeases.isLeaseAvailable(vm)
                && now >= (this.retryAt.get(vm) ?? 0)
            ).map(vm => this.buildVm(fleet, vm, targets.get(vm))),
            maintenanceMs,
            now,
            takeRoom: this.buildRoomTaker(fleet),
        });
        this.recordPostponed(wave, plan.postponed);
        for (const vm of plan.draining) {
            const since = this.drainingSince.get(vm) ?? now;
            draining.set(vm, since);
            this.drainingSince.set(vm, since);
        }
        for (const { target, run } of this.pickStops(fleet, plan.stops)) {
            sessions.find(target)?.stopTask(run.task, run.run);
        }
        if (leadership.isActive()) {
            const noteFault = createFaultListener(log);
            yield* waitFor(Promise.all(plan.vmsToStart.map(vm =>
                runContained(
                    noteFault,
                    { work: WorkKind.VmMaintenance, subject: vm },
                    () => this.startMaintenance(wave, vm, targets.get(vm)),
                    () => this.handleFault(vm),
                )
            )));
        }
    }

    /** Picks at most one long-running task per step; the next round checks whether the step can spare another. */
    private pickStops(
        fleet: FleetState,
        stops: readonly { target: string; run: AffectedRun }[],
    ): { target: string; run: AffectedRun }[] {
        const steps = new Set<string>();
        return stops.filter(({ run }) => {
            const key = decodeTaskKey(run.task);
            const name = key === undefined ? run.task : encodeStepKey(key.job, key.occurrence, key.step);
            const isFirst = !run.isLongRunning || !steps.has(name);
            steps.add(name);
            return isFirst;
        });
    }

    /** The request may have been sent, so that the VM counts as down, like after a request without an answer. */
    private handleFault(vm: string): void {
        this.noteRequest(vm);
        this.retryAt.set(vm, this.dependencies.clock.readMonotonic() + busyRetryDelayMs);
    }

    private noteRequest(vm: string): void {
        this.requestedMaintenance.set(vm, {
            at: this.dependencies.clock.readMonotonic(),
            incarnation: this.findIncarnation(vm),
        });
    }

    private async startMaintenance(
        wave: MaintenanceWave,
        vm: string,
        target: TargetRecord | undefined,
    ): Promise<void> {
        const { vms, vmLeases, leadership, log, clock } = this.dependencies;
        const lease = vmLeases.readLease();
        if (lease === undefined) {
            return;
        }
        const token = lease.fencingToken;
        const pool = target?.pool ?? "";
        const isVmIdle = await leadership.recordCommand({
            kind: CommandKind.RecordMove,
            vm,
            from: pool,
            to: pool,
            token,
            holder: vmLeases.readHolder(),
            atMs: clock.readWall(),
        });
        if (isVmIdle !== true || vmLeases.readLease()?.fencingToken !== token) {
            return;
        }
        const sentAt = clock.readMonotonic();
        const result = await vms.startMaintenance(vm, wave.number, lease);
        const isGone = result === VmRequestResult.Busy && this.isGone(vm, sentAt);
        const isFinished = result === VmRequestResult.Done || result === VmRequestResult.Unknown
            || result === VmRequestResult.NotOfWave || isGone;
        if (result === VmRequestResult.Busy) {
            this.retryAt.set(vm, clock.readMonotonic() + busyRetryDelayMs);
        }
        else {
            this.busySince.delete(vm);
        }
        log.record(isFinished ? DecisionKind.UpkeepOrdered : DecisionKind.UpkeepDelayed, {
            wave: wave.number,
            vm,
            result,
            target: target?.id,
            token: this.token,
            listed: vmLeases.readVms().find(view => view.vm === vm)?.state ?? "not listed",
        });
        if (result === VmRequestResult.Done || result === VmRequestResult.Unanswered) {
            this.noteRequest(vm);
        }
        if (!isFinished) {
            return;
        }
        await leadership.recordCommand({ kind: CommandKind.RecordMaintenance, wave: wave.number, vm });
        if (target !== undefined && result === VmRequestResult.Done) {
            const { id, incarnation } = target;
            const atMs = clock.readWall();
            await leadership.recordCommand({ kind: CommandKind.RemoveTarget, id, incarnation, atMs });
        }
    }

    /**
     * Tells whether a VM that is busy is leaving for good. An older list may lack a VM that has joined since, and there
     * is no list at first in a new term.
     */
    private isGone(vm: string, busyAt: number): boolean {
        const since = this.busySince.get(vm) ?? busyAt;
        this.busySince.set(vm, since);
        return this.dependencies.vmLeases.findVm(vm, since) === undefined;
    }

    /** Builds the search for room; the targets are listed when it is first needed, as most rounds move no task. */
    private buildRoomTaker(fleet: FleetState): (run: AffectedRun, cordoned: ReadonlySet<string>) => boolean {
        const { sessions, isMoving, isClosed } = this.dependencies;
        const { configuration } = fleet;
        const queues = configuration === undefined ? undefined : readConfigurationIndex(configuration).queuesByName;
        const finders = new Map<string, RoomFinder>();
        const buildFinder = (pool: string, cordoned: ReadonlySet<string>): RoomFinder => {
            const countStartsLeft = (id: string): number => {
                const vm = fleet.targets.get(id)?.vm ?? "";
                const isCordoned = cordoned.has(id) || this.isDraining(id) || isMoving(vm) || isClosed(vm);
                return isCordoned ? 0 : sessions.find(id)?.countStartsLeft() ?? 0;
            };
            return new RoomFinder(buildPlacementTargets(fleet, countStartsLeft, new Map([[pool, anyResources]])));
        };
        return ({ task }, cordoned) => {
            const key = decodeTaskKey(task);
            const job = key === undefined ? undefined : fleet.jobs.get(key.job);
            const step = key === undefined ? undefined : job?.steps[key.step];
            const pool = queues?.get(job?.queue ?? "")?.pool ?? job?.pool;
            if (step === undefined || pool === undefined) {
                return false;
            }
            const finder = finders.get(pool) ?? buildFinder(pool, cordoned);
            finders.set(pool, finder);
            return finder.takeRoom(step, parseStepKey(task), pool);
        };
    }

    private recordPostponed(wave: MaintenanceWave, vms: readonly string[]): void {
        const { clock, log } = this.dependencies;
        for (const vm of vms) {
            this.retryAt.set(vm, clock.readMonotonic() + postponementMs);
            this.longRunningCounts.delete(vm);
            log.record(DecisionKind.UpkeepDelayed, { wave: wave.number, vm, result: "no-room", forMs: postponementMs });
        }
    }

    private buildVm(fleet: FleetState, vm: string, target: TargetRecord | undefined): MaintenanceCandidate {
        const recorded = target === undefined ? [] : [...fleet.targetLoads.get(target.id)?.runs ?? []];
        const runs = recorded.flatMap(([task, run]) => this.buildRun(fleet, target?.id ?? "", task, run));
        const count = runs.filter(({ isLongRunning }) => isLongRunning).length;
        const previous = this.longRunningCounts.get(vm);
        const unchangedSince = previous?.count === count ? previous.since : this.dependencies.clock.readMonotonic();
        this.longRunningCounts.set(vm, { count, since: unchangedSince });
        return { vm, target: target?.id, runs, drainingSince: this.drainingSince.get(vm), unchangedSince };
    }

    private buildRun(fleet: FleetState, target: string, task: string, run: number): AffectedRun[] {
        const key = decodeTaskKey(task);
        const step = key === undefined ? undefined : fleet.jobs.get(key.job)?.steps[key.step];
        if (key === undefined || step === undefined) {
            return [];
        }
        const { isLongRunning, hasCheckpoints, mayMiss } = step;
        if (!isLongRunning) {
            const flags = { isDispensable: false, isRemovable: false, isStopping: false };
            return [{ task, run, isLongRunning, hasCheckpoints, ...flags }];
        }
        const isStopping = this.dependencies.sessions.find(target)?.isStopping(task, run) === true;
        const unavailable = this.listUnavailable(fleet, key);
        const tasksHere = fleet.targetLoads.get(target)?.stepCounts.get(parseStepKey(task)) ?? 1;
        const unavailableElsewhere = unavailable.filter(other => other.target !== target).length;
        return [{
            task,
            run,
            isLongRunning,
            hasCheckpoints,
            isDispensable: mayMiss === undefined || unavailable.length < mayMiss,
            isRemovable: mayMiss === undefined || unavailableElsewhere + tasksHere <= mayMiss,
            isStopping,
        }];
    }

    /** Lists the other tasks of a step that are not at work. */
    private listUnavailable(fleet: FleetState, key: TaskKey): TaskRecord[] {
        const tasks = fleet.jobs.get(key.job)?.occurrences.get(key.occurrence)?.[key.step]?.tasks ?? [];
        return tasks.filter((task, index) => {
            const name = encodeTaskKey({ ...key, index });
            const session = this.dependencies.sessions.find(task.target);
            const running = session?.running.get(name);
            const isReady = task.phase === TaskPhase.Placed && running?.run === task.run
                && running.percent >= readyPercent && session?.isStopping(name, task.run) === false;
            return index !== key.index && !isReady;
        });
    }

    private isDown(vm: string): boolean {
        const { clock, maintenanceMs } = this.dependencies;
        const request = this.requestedMaintenance.get(vm);
        if (request === undefined) {
            return false;
        }
        const elapsedMs = clock.readMonotonic() - request.at;
        // Most maintenance is long over, so that the target need not be searched.
        if (!isVmDown({ elapsedMs, maintenanceMs, isRestarted: false })) {
            return false;
        }
        const incarnation = this.findIncarnation(vm);
        return isVmDown({
            elapsedMs,
            maintenanceMs,
            isRestarted: incarnation !== undefined && incarnation !== request.incarnation,
        });
    }

    private findIncarnation(vm: string): number | undefined {
        const { targets } = this.dependencies.leadership.readFleet();
        return [...targets.values()].find(record => record.vm === vm)?.incarnation;
    }
}

function collectTargetsByVm(fleet: FleetState): Map<string, TargetRecord> {
    return new Map([...fleet.targets.values()].map(target => [target.vm, target]));
}
