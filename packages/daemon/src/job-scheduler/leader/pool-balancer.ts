import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";
import { ArrivalTracker } from "@daisylock/core/pools/arrival-tracker.js";
import { collectPoolDemands } from "@daisylock/core/pools/collect-pool-demands.js";
import { computeHomeCapacities } from "@daisylock/core/pools/compute-home-capacities.js";
import type { IdleVm } from "@daisylock/core/pools/idle-vm.js";
import type { PoolForecast } from "@daisylock/core/pools/pool-forecast.js";
import type { PoolStatus } from "@daisylock/core/pools/pool-status.js";
import { VmCapacityIndex } from "@daisylock/core/pools/vm-capacity-index.js";
import { VmMovePlanner } from "@daisylock/core/pools/vm-move-planner.js";
import type { VmMove } from "@daisylock/core/pools/vm-move.js";
import { zeroResources } from "@daisylock/core/resources/zero-resources.js";
import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { Clock } from "../../clock/clock.js";
import { startContained } from "../../containment/start-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { createFaultListener } from "../logging/create-fault-listener.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import { VmRequestResult } from "../vms/vm-request-result.js";
import type { VmService } from "../vms/vm-service.js";
import { VmState } from "../vms/vm-state.js";
import type { Leadership } from "./leadership.js";
import type { MeasureWork } from "./measure-work.js";
import { MoveCounter } from "./move-counter.js";
import type { VmLeaseTracker } from "./vm-lease-tracker.js";

const intervalMs = 100;
/** Time between two records of the demand by a process that does not lead, milliseconds. */
const demandRecordIntervalMs = 500;
/** Time between two log lines about the forecast of a pool, milliseconds. */
const forecastLogIntervalMs = 1_000;
/** Time after the end of a move for which a VM that has not reported yet still counts as moving, milliseconds. */
const arrivalTimeoutMs = 2_000;

/** Time that a move to a spare pool may take beyond the time that the platform states, milliseconds. */
const spareMoveMarginMs = 100;

/** Dependencies of the pool balancer. */
interface BalancerDependencies {
    readonly leadership: Leadership;
    readonly vmLeases: VmLeaseTracker;
    readonly vms: VmService;
    /** Whether a VM is down or being drained for maintenance. */
    readonly isInMaintenance: (vm: string) => boolean;
    /** Whether tasks may be started on a target; also while it is ejected. */
    readonly isUsable: (target: string) => boolean;
    /** Whether a target is ejected, or tried again with one task at a time. */
    readonly isEjected: (target: string) => boolean;
    /** Reads by pool what waiting tasks request that cannot be on time any more, thousandths of a core. */
    readonly readLateDemands: () => ReadonlyMap<string, number>;
    /** Closes VMs of calm pools to starts, so that they become empty for pools that the moves of a round leave short. */
    readonly closeVms: (fleet: FleetState, pools: readonly PoolForecast[], moves: readonly VmMove[]) => void;
    /** Opens all closed VMs, as none can be moved. */
    readonly openVms: () => void;
    readonly log: Pick<DecisionLog, "record">;
    readonly measure: MeasureWork;
    readonly clock: Clock;
    /** Time that the platform takes to move a VM, milliseconds. */
    readonly moveMs: number;
}

/** Load on the VMs of a pool that take no start, thousandths of a core. */
interface CordonedLoad {
    readonly capacity: number;
    /** Part in use by tasks that end there. */
    readonly usedShortRunning: number;
}

/** A VM that is being moved to a pool. */
interface MovingVm {
    readonly to: string;
    /** CPU capacity, millicores. */
    readonly cpu: number;
    /** When the move began, monotonic milliseconds. */
    readonly since: number;
}

/**
 * Moves idle VMs to pools that lack capacity and back to their home pools, while this process is the active leader. The
 * other keepers only record the demand, so that a successor knows which pools have had their bursts.
 */
export class PoolBalancer extends PeriodicWorker {
    override readonly name = "pool-balancer";
    private readonly movingVms = new Map<string, MovingVm>();
    /** Spare pool of each VM that this leader has powered off by moving it there; the cached VM list may be older. */
    private readonly poweredOffVms = new Map<string, string>();
    private readonly planner: VmMovePlanner;
    private readonly arrivals = new ArrivalTracker();
    private readonly moveCounter = new MoveCounter();
    /** Monotonic milliseconds. */
    private nextDemandRecordAt = 0;
    /** Monotonic milliseconds. */
    private nextForecastLogAt = 0;

    /**
     * @param dependencies - leadership, VM service, clock, log and the measurement of work
     */
    constructor(private readonly dependencies: BalancerDependencies) {
        super(dependencies.clock);
        this.planner = new VmMovePlanner(dependencies.moveMs);
    }

    /**
     * Tells whether a VM is being moved to another pool.
     * @param vm - the VM
     * @returns true until it has arrived, or the move has failed or timed out
     */
    isMoving(vm: string): boolean {
        return this.movingVms.has(vm);
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        const { leadership, vmLeases, clock, log, measure } = this.dependencies;
        vmLeases.noteRequests();
        const fleet = leadership.readFleet();
        const now = clock.readMonotonic();
        if (vmLeases.readLease() === undefined) {
            this.dependencies.openVms();
            this.recordDemands(fleet, now);
            return intervalMs;
        }
        this.dropArrived(fleet);
        const moves = measure("moves", () => this.planner.planRound(this.collectPools(fleet), now));
        measure("consolidation", () => this.dependencies.closeVms(fleet, this.planner.readForecasts(), moves));
        this.moveCounter.noteMoves(moves);
        this.writeForecastLines(now);
        const capacities = new VmCapacityIndex(moves.length > 0 ? fleet.targets.values() : []);
        // Moves are not awaited, so that a slow VM service does not delay the next round.
        for (const move of moves) {
            const cpu = capacities.readCpu(move.vm);
            const work = { work: WorkKind.VmMove, subject: move.vm };
            // After a fault, the VM counts as moving until the time that a move takes has passed.
            startContained(createFaultListener(log), work, () => this.runMove(move, cpu));
        }
        return intervalMs;
    }

    /** Logs one line per second and pool, which tells why VMs were moved, or why they were not. */
    private writeForecastLines(now: number): void {
        if (now < this.nextForecastLogAt) {
            return;
        }
        this.nextForecastLogAt = now + forecastLogIntervalMs;
        const forecasts = this.planner.readForecasts();
        const spares = new Set(forecasts.filter(({ isSpare }) => isSpare).map(({ name }) => name));
        const counts = this.moveCounter.takeCounts(forecasts.map(({ name }) => name), pool => spares.has(pool));
        for (
            const { name, isSpare, capacity, unusable, used, wanted, wantedLate, expected, peak, reserve, idleVms }
                of forecasts
        ) {
            this.dependencies.log.record(DecisionKind.PoolForecast, {
                pool: name,
                isSpare,
                capacity,
                unusable,
                used,
                wanted,
                wantedLate,
                expected: Math.round(expected),
                peak,
                reserve: Math.round(reserve),
                idle: idleVms.length,
                incoming: [...this.movingVms.values()].filter(({ to }) => to === name).length,
                ...counts.get(name),
            });
        }
    }

    private recordDemands(fleet: FleetState, now: number): void {
        if (now >= this.nextDemandRecordAt) {
            this.nextDemandRecordAt = now + demandRecordIntervalMs;
            this.planner.recordDemands(this.collectPools(fleet), now);
        }
    }

    private async runMove({ vm, from, to }: VmMove, cpu: number): Promise<void> {
        const { leadership, vmLeases, vms, log, clock } = this.dependencies;
        this.poweredOffVms.delete(vm);
        this.movingVms.set(vm, { to, cpu, since: clock.readMonotonic() });
        const token = leadership.readFencingToken();
        const isVmIdle = await leadership.recordCommand({
            kind: CommandKind.RecordMove,
            vm,
            from,
            to,
            token,
            holder: vmLeases.readHolder(),
            atMs: clock.readWall(),
        });
        const lease = vmLeases.readLease();
        if (isVmIdle !== true || lease?.fencingToken !== token) {
            this.movingVms.delete(vm);
            return;
        }
        const result = await vms.startMove(vm, to, lease);
        log.record(DecisionKind.VmMoved, { vm, from, to, result, token: lease.fencingToken });
        if (result !== VmRequestResult.Done && result !== VmRequestResult.Unanswered) {
            this.movingVms.delete(vm);
        }
    }

    private collectPools(fleet: FleetState): PoolStatus[] {
        const now = this.dependencies.clock.readWall();
        const demands = collectPoolDemands(fleet, now, target => this.isTakingStarts(target));
        const arrivals = this.arrivals.collectArrivals(fleet, now);
        const index = new VmCapacityIndex(fleet.targets.values());
        const homeCapacities = computeHomeCapacities(fleet, index);
        const cordonedLoads = this.computeCordonedLoads(fleet);
        const idleVms = this.collectIdleVms(fleet);
        const lateDemands = this.dependencies.readLateDemands();
        return (fleet.configuration?.pools ?? []).map(({ name, isSpare }) => {
            const demand = demands.get(name);
            const cordoned = cordonedLoads.get(name);
            const incoming = [...this.movingVms.values()].filter(({ to }) => to === name)
                .reduce((sum, { cpu }) => sum + cpu, 0);
            return {
                name,
                isSpare,
                capacity: (demand?.capacity ?? 0) - (cordoned?.capacity ?? 0) + incoming,
                unusable: demand?.unusable ?? 0,
                incoming,
                used: (demand?.used ?? 0) - (cordoned?.usedShortRunning ?? 0),
                usedLongRunning: demand?.usedLongRunning ?? 0,
                wanted: demand?.wanted ?? 0,
                // They may be from before some of the tasks were started.
                wantedLate: Math.min(demand?.wanted ?? 0, lateDemands.get(name) ?? 0),
                arrivals: arrivals.get(name) ?? [],
                homeCapacity: homeCapacities.get(name) ?? 0,
                idleVms: isSpare ? this.listSpareVms(fleet, index, name) : idleVms.get(name) ?? [],
            };
        });
    }

    private isTakingStarts({ id, vm, state }: TargetRecord): boolean {
        const { isUsable, isEjected, isInMaintenance } = this.dependencies;
        return state === ReportedTargetState.Ready && isUsable(id) && !isEjected(id)
            && !(vm !== "" && isInMaintenance(vm));
    }

    /**
     * Computes the part of each pool's load that is on VMs in maintenance or being drained for it. Their capacity takes no
     * start. Their long-running tasks still need room in the pool; the others end there.
     */
    private computeCordonedLoads(fleet: FleetState): ReadonlyMap<string, CordonedLoad> {
        const loads = new Map<string, CordonedLoad>();
        for (const { id, pool, vm, capacity } of fleet.targets.values()) {
            if (vm === "" || !this.dependencies.isInMaintenance(vm)) {
                continue;
            }
            const { used, servingCpu } = fleet.targetLoads.get(id) ?? { used: zeroResources, servingCpu: 0 };
            const sum = loads.get(pool) ?? { capacity: 0, usedShortRunning: 0 };
            loads.set(pool, {
                capacity: sum.capacity + capacity.cpu,
                usedShortRunning: sum.usedShortRunning + used.cpu - servingCpu,
            });
        }
        return loads;
    }

    /** Collects by pool the VMs on which nothing may be running and which may leave. */
    private collectIdleVms(fleet: FleetState): ReadonlyMap<string, IdleVm[]> {
        const { isUsable, isInMaintenance, vmLeases } = this.dependencies;
        const idleVms = new Map<string, IdleVm[]>();
        for (const { id, vm, pool, state, capacity } of fleet.targets.values()) {
            const isIdle = vm !== "" && state === ReportedTargetState.Ready
                && (fleet.targetLoads.get(id)?.runs.size ?? 0) === 0
                && isUsable(id) && !isInMaintenance(vm) && !this.movingVms.has(vm) && vmLeases.isLeaseAvailable(vm);
            if (isIdle) {
                const idleVm = { vm, home: fleet.vmHomes.get(vm) ?? pool, cpu: capacity.cpu };
                const others = idleVms.get(pool);
                if (others === undefined) {
                    idleVms.set(pool, [idleVm]);
                }
                else {
                    others.push(idleVm);
                }
            }
        }
        return idleVms;
    }

    private listSpareVms(fleet: FleetState, index: VmCapacityIndex, pool: string): PoolStatus["idleVms"] {
        const { vmLeases, isInMaintenance } = this.dependencies;
        const listed = vmLeases.readVms().filter(({ pool: vmPool, state }) => vmPool === pool && state === VmState.Up);
        const poweredOff = [...this.poweredOffVms].filter(([, vmPool]) => vmPool === pool);
        const vms = new Set([...listed.map(({ vm }) => vm), ...poweredOff.map(([vm]) => vm)]);
        return [...vms]
            .filter(vm =>
                !index.isRecorded(vm) && !isInMaintenance(vm) && !this.movingVms.has(vm)
                && vmLeases.isLeaseAvailable(vm)
            )
            .map(vm => ({ vm, home: fleet.vmHomes.get(vm) ?? pool, cpu: index.readCpu(vm) }));
    }

    private dropArrived(fleet: FleetState): void {
        const { clock, moveMs } = this.dependencies;
        const now = clock.readMonotonic();
        const arrived = new Set([...fleet.targets.values()].map(({ vm, pool }) => `${vm} ${pool}`));
        for (const [vm, { to, since }] of this.movingVms) {
            const isSpare = fleet.configuration?.pools.some(pool => pool.name === to && pool.isSpare) === true;
            if (isSpare && now - since > moveMs + spareMoveMarginMs) {
                this.poweredOffVms.set(vm, to);
                this.movingVms.delete(vm);
            }
            else if (arrived.has(`${vm} ${to}`) || now - since > moveMs + arrivalTimeoutMs) {
                this.movingVms.delete(vm);
            }
        }
        // A VM on which a target runs is not powered off: its move was not carried out, or another leader has moved it.
        for (const { vm } of fleet.targets.values()) {
            this.poweredOffVms.delete(vm);
        }
    }
}
