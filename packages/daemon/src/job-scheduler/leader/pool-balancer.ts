import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";
import type { PoolStatus } from "@daisylock/core/pools/pool-status.js";
import { VmMovePlanner } from "@daisylock/core/pools/vm-move-planner.js";
import type { VmMove } from "@daisylock/core/pools/vm-move.js";
import { collectCandidates } from "@daisylock/core/queueing/collect-candidates.js";
import { collectPoolLoads } from "@daisylock/core/queueing/collect-pool-loads.js";
import type { WorkEstimator } from "@daisylock/core/queueing/work-estimator.js";
import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";

import type { Clock } from "../../clock/clock.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import { VmRequestResult } from "../vms/vm-request-result.js";
import type { VmService } from "../vms/vm-service.js";
import { VmState } from "../vms/vm-state.js";
import type { Leadership } from "./leadership.js";
import type { VmLeaseTracker } from "./vm-lease-tracker.js";

const intervalMs = 100;
/** Longest time after its move for which a VM that has not announced itself counts as on its way. */
const arrivalTimeoutMs = 2_000;

/** Time that a move to a spare pool may take beyond what the platform says. */
const spareMoveMarginMs = 100;

/** What the balancer needs. */
interface BalancerDependencies {
    readonly leadership: Leadership;
    readonly vmLeases: VmLeaseTracker;
    readonly vms: VmService;
    readonly estimator: WorkEstimator;
    /** Whether a VM is down or being emptied for maintenance. */
    readonly isInMaintenance: (vm: string) => boolean;
    readonly isUsable: (target: string) => boolean;
    readonly log: DecisionLog;
    readonly clock: Clock;
    readonly moveMs: number;
}

/** A VM on its way to a pool. */
interface MovingVm {
    readonly to: string;
    readonly cpu: number;
    /** Monotonic milliseconds. */
    readonly since: number;
}

/** Moves idle VMs to the pools that are short, and home again, while this process leads. */
export class PoolBalancer extends PeriodicWorker {
    override readonly name = "pool-balancer";
    private readonly movingVms = new Map<string, MovingVm>();
    /** VMs that this leader has switched off; the platform's list may be older than that. */
    private readonly poweredOffVms = new Map<string, string>();
    private readonly planner: VmMovePlanner;

    /**
     * @param dependencies - what the balancer needs
     */
    constructor(private readonly dependencies: BalancerDependencies) {
        super(dependencies.clock);
        this.planner = new VmMovePlanner(dependencies.moveMs);
    }

    /**
     * Tells whether a VM is on its way to another pool.
     * @param vm - the VM
     * @returns true until it has arrived
     */
    isMoving(vm: string): boolean {
        return this.movingVms.has(vm);
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        const { leadership, vmLeases: gate } = this.dependencies;
        gate.noteRequests();
        if (gate.readLease() === undefined) {
            return intervalMs;
        }
        const fleet = leadership.readFleet();
        this.dropArrived(fleet);
        const moves = this.planner.planRound(this.collectPools(fleet), this.dependencies.clock.readMonotonic());
        // Answers are not waited for: a platform that is slow must not hold up the next decisions.
        moves.forEach(move => void this.runMove(move));
        return intervalMs;
    }

    private async runMove({ vm, from, to }: VmMove): Promise<void> {
        const { leadership, vmLeases: gate, vms, log, clock } = this.dependencies;
        const cpu = readVmCpu(leadership.readFleet(), vm);
        this.poweredOffVms.delete(vm);
        this.movingVms.set(vm, { to, cpu, since: clock.readMonotonic() });
        const token = leadership.readFencingToken();
        const isFree = await leadership.recordCommand({
            kind: CommandKind.RecordMove,
            vm,
            from,
            to,
            token,
            holder: gate.readHolder(),
            atMs: clock.readWall(),
        });
        const authority = gate.readLease();
        if (isFree !== true || authority?.fencingToken !== token) {
            this.movingVms.delete(vm);
            return;
        }
        const result = await vms.startMove(vm, to, authority);
        log.record(DecisionKind.VmMoved, { vm, from, to, result, token: authority.fencingToken });
        if (result !== VmRequestResult.Done && result !== VmRequestResult.Unanswered) {
            this.movingVms.delete(vm);
        }
    }

    private collectPools(fleet: FleetState): PoolStatus[] {
        const { estimator, clock } = this.dependencies;
        const candidates = collectCandidates(fleet, clock.readWall(), estimator);
        const loads = new Map(collectPoolLoads(fleet, candidates).map(load => [load.pool, load]));
        return (fleet.configuration?.pools ?? []).map(({ name, isSpare }) => {
            const load = loads.get(name);
            const incoming = [...this.movingVms.values()].filter(({ to }) => to === name);
            return {
                name,
                isSpare,
                capacity: (load?.capacity ?? 0) + incoming.reduce((sum, { cpu }) => sum + cpu, 0),
                used: load?.used ?? 0,
                usedLongRunning: load?.usedLongRunning ?? 0,
                wanted: load?.wanted ?? 0,
                homeCapacity: this.computeHomeCapacity(fleet, name),
                idleVms: isSpare ? this.listSpareVms(fleet, name) : this.listIdleVms(fleet, name),
            };
        });
    }

    private listIdleVms(fleet: FleetState, pool: string): PoolStatus["idleVms"] {
        const { isUsable, isInMaintenance: isMaintained, vmLeases: gate } = this.dependencies;
        return [...fleet.targets.values()]
            .filter(target =>
                target.pool === pool && target.vm !== "" && target.state === ReportedTargetState.Ready
                && (fleet.targetLoads.get(target.id)?.runs.size ?? 0) === 0
                && isUsable(target.id) && !isMaintained(target.vm) && !this.movingVms.has(target.vm)
                && gate.isLeaseAvailable(target.vm)
            )
            .map(({ vm, capacity }) => ({ vm, home: fleet.vmHomes.get(vm) ?? pool, cpu: capacity.cpu }));
    }

    private listSpareVms(fleet: FleetState, pool: string): PoolStatus["idleVms"] {
        const { vmLeases: gate, isInMaintenance: isMaintained } = this.dependencies;
        const recorded = new Set([...fleet.targets.values()].map(({ vm }) => vm));
        const listed = gate.readVms().filter(({ pool: where, state }) => where === pool && state === VmState.Up);
        const parked = [...this.poweredOffVms].filter(([, where]) => where === pool);
        const vms = new Set([...listed.map(({ vm }) => vm), ...parked.map(([vm]) => vm)]);
        return [...vms]
            .filter(vm =>
                !recorded.has(vm) && !isMaintained(vm) && !this.movingVms.has(vm) && gate.isLeaseAvailable(vm)
            )
            .map(vm => ({ vm, home: fleet.vmHomes.get(vm) ?? pool, cpu: readVmCpu(fleet, vm) }));
    }

    private computeHomeCapacity(fleet: FleetState, pool: string): number {
        const away = [...fleet.vmHomes].filter(([vm, home]) => home === pool && !isVmInPool(fleet, vm, pool));
        const own = [...fleet.targets.values()].filter(({ vm, pool: where }) =>
            where === pool && (fleet.vmHomes.get(vm) ?? pool) === pool
        );
        return own.reduce((sum, { capacity }) => sum + capacity.cpu, 0)
            + away.reduce((sum, [vm]) => sum + readVmCpu(fleet, vm), 0);
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
    }
}

function isVmInPool(fleet: FleetState, vm: string, pool: string): boolean {
    return [...fleet.targets.values()].some(target => target.vm === vm && target.pool === pool);
}

/** VMs that are switched off say nothing of themselves; they count like the smallest that does. */
function readVmCpu(fleet: FleetState, vm: string): number {
    const targets = [...fleet.targets.values()];
    const own = targets.find(target => target.vm === vm);
    return own?.capacity.cpu ?? Math.min(...targets.map(({ capacity }) => capacity.cpu));
}
