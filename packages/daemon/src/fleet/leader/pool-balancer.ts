import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";
import { PoolPlanner } from "@daisylock/core/pools/pool-planner.js";
import type { PoolReading } from "@daisylock/core/pools/pool-reading.js";
import type { VmMove } from "@daisylock/core/pools/vm-move.js";
import { collectCandidates } from "@daisylock/core/queueing/collect-candidates.js";
import { collectPoolLoads } from "@daisylock/core/queueing/collect-pool-loads.js";
import type { WorkEstimator } from "@daisylock/core/queueing/work-estimator.js";
import { TargetState } from "@daisylock/core/targets/target-state.js";

import type { Clock } from "../../clock/clock.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { DecisionKind } from "../log/decision-kind.js";
import type { DecisionLog } from "../log/decision-log.js";
import { VmOrderResult } from "../vms/vm-order-result.js";
import type { VmService } from "../vms/vm-service.js";
import { VmState } from "../vms/vm-state.js";
import type { Leadership } from "./leadership.js";
import type { VmAuthorityGate } from "./vm-authority-gate.js";

const intervalMs = 100;
/** Longest time after its move for which a VM that has not announced itself counts as on its way. */
const arrivalMs = 2_000;

/** Time that a move to a spare pool may take beyond what the platform says. */
const parkingMarginMs = 100;

/** What the balancer needs. */
interface BalancerSurroundings {
    readonly leadership: Leadership;
    readonly gate: VmAuthorityGate;
    readonly vms: VmService;
    readonly estimator: WorkEstimator;
    /** Whether a VM is down or being emptied for maintenance. */
    readonly isMaintained: (vm: string) => boolean;
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
    private readonly moving = new Map<string, MovingVm>();
    /** VMs that this leader has switched off; the platform's list may be older than that. */
    private readonly parked = new Map<string, string>();
    private readonly planner: PoolPlanner;

    /**
     * @param surroundings - what the balancer needs
     */
    constructor(private readonly surroundings: BalancerSurroundings) {
        super(surroundings.clock);
        this.planner = new PoolPlanner(surroundings.moveMs);
    }

    /**
     * Tells whether a VM is on its way to another pool.
     * @param vm - the VM
     * @returns true until it has arrived
     */
    isMoving(vm: string): boolean {
        return this.moving.has(vm);
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        const { leadership, gate } = this.surroundings;
        gate.noteOrders();
        if (gate.readAuthority() === undefined) {
            return intervalMs;
        }
        const fleet = leadership.readFleet();
        this.dropArrived(fleet);
        const moves = this.planner.planRound(this.collectPools(fleet), this.surroundings.clock.readMonotonic());
        // Answers are not waited for: a platform that is slow must not hold up the next decisions.
        moves.forEach(move => void this.runMove(move));
        return intervalMs;
    }

    private async runMove({ vm, from, to }: VmMove): Promise<void> {
        const { leadership, gate, vms, log, clock } = this.surroundings;
        const cpu = readCpu(leadership.readFleet(), vm);
        this.parked.delete(vm);
        this.moving.set(vm, { to, cpu, since: clock.readMonotonic() });
        const token = leadership.readToken();
        const isFree = await leadership.recordCommand({
            kind: CommandKind.RecordMove,
            vm,
            from,
            to,
            token,
            holder: gate.readHolder(),
            atMs: clock.readWall(),
        });
        const authority = gate.readAuthority();
        if (isFree !== true || authority?.fencingToken !== token) {
            this.moving.delete(vm);
            return;
        }
        const result = await vms.startMove(vm, to, authority);
        log.note(DecisionKind.VmMoved, { vm, from, to, result, token: authority.fencingToken });
        if (result !== VmOrderResult.Done && result !== VmOrderResult.Unanswered) {
            this.moving.delete(vm);
        }
    }

    private collectPools(fleet: FleetState): PoolReading[] {
        const { estimator, clock } = this.surroundings;
        const candidates = collectCandidates(fleet, clock.readWall(), estimator);
        const loads = new Map(collectPoolLoads(fleet, candidates).map(load => [load.pool, load]));
        return (fleet.configuration?.pools ?? []).map(({ name, isSpare }) => {
            const load = loads.get(name);
            const incoming = [...this.moving.values()].filter(({ to }) => to === name);
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

    private listIdleVms(fleet: FleetState, pool: string): PoolReading["idleVms"] {
        const { isUsable, isMaintained, gate } = this.surroundings;
        return [...fleet.targets.values()]
            .filter(target =>
                target.pool === pool && target.vm !== "" && target.state === TargetState.Ready
                && (fleet.targetLoads.get(target.id)?.runs.size ?? 0) === 0
                && isUsable(target.id) && !isMaintained(target.vm) && !this.moving.has(target.vm)
                && gate.isFree(target.vm)
            )
            .map(({ vm, capacity }) => ({ vm, home: fleet.vmHomes.get(vm) ?? pool, cpu: capacity.cpu }));
    }

    private listSpareVms(fleet: FleetState, pool: string): PoolReading["idleVms"] {
        const { gate, isMaintained } = this.surroundings;
        const recorded = new Set([...fleet.targets.values()].map(({ vm }) => vm));
        const listed = gate.readVms().filter(({ pool: where, state }) => where === pool && state === VmState.Up);
        const parked = [...this.parked].filter(([, where]) => where === pool);
        const vms = new Set([...listed.map(({ vm }) => vm), ...parked.map(([vm]) => vm)]);
        return [...vms]
            .filter(vm => !recorded.has(vm) && !isMaintained(vm) && !this.moving.has(vm) && gate.isFree(vm))
            .map(vm => ({ vm, home: fleet.vmHomes.get(vm) ?? pool, cpu: readCpu(fleet, vm) }));
    }

    private computeHomeCapacity(fleet: FleetState, pool: string): number {
        const away = [...fleet.vmHomes].filter(([vm, home]) => home === pool && !isIn(fleet, vm, pool));
        const own = [...fleet.targets.values()].filter(({ vm, pool: where }) =>
            where === pool && (fleet.vmHomes.get(vm) ?? pool) === pool
        );
        return own.reduce((sum, { capacity }) => sum + capacity.cpu, 0)
            + away.reduce((sum, [vm]) => sum + readCpu(fleet, vm), 0);
    }

    private dropArrived(fleet: FleetState): void {
        const { clock, moveMs } = this.surroundings;
        const now = clock.readMonotonic();
        const arrived = new Set([...fleet.targets.values()].map(({ vm, pool }) => `${vm} ${pool}`));
        for (const [vm, { to, since }] of this.moving) {
            const isSpare = fleet.configuration?.pools.some(pool => pool.name === to && pool.isSpare) === true;
            if (isSpare && now - since > moveMs + parkingMarginMs) {
                this.parked.set(vm, to);
                this.moving.delete(vm);
            }
            else if (arrived.has(`${vm} ${to}`) || now - since > moveMs + arrivalMs) {
                this.moving.delete(vm);
            }
        }
    }
}

function isIn(fleet: FleetState, vm: string, pool: string): boolean {
    return [...fleet.targets.values()].some(target => target.vm === vm && target.pool === pool);
}

/** VMs that are switched off say nothing of themselves; they count like the smallest that does. */
function readCpu(fleet: FleetState, vm: string): number {
    const targets = [...fleet.targets.values()];
    const own = targets.find(target => target.vm === vm);
    return own?.capacity.cpu ?? Math.min(...targets.map(({ capacity }) => capacity.cpu));
}
