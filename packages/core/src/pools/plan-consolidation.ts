import type { BusyVm } from "./busy-vm.js";
import { computeLenderNeed } from "./compute-lender-need.js";
import { computeShortage } from "./compute-shortage.js";
import type { ConsolidationPlan } from "./consolidation-plan.js";
import { pickStops } from "./pick-stops.js";
import type { PinningRun } from "./pinning-run.js";
import type { PoolForecast } from "./pool-forecast.js";
import type { VmMove } from "./vm-move.js";

/** State of the pools after the moves of a round, the input of the plan. */
interface ConsolidationView {
    readonly pools: readonly PoolForecast[];
    /** Moves that the round has planned. */
    readonly moves: readonly VmMove[];
    /** Collects the VMs of some pools that may become empty; called only when another pool lacks capacity. */
    readonly collectVms: (pools: ReadonlySet<string>) => readonly BusyVm[];
    /**
     * Takes the room for a run on a target that stays open.
     * @param run - the run
     * @param closed - the VMs that are closed
     * @returns false when there is none
     */
    readonly takeRoom: (run: PinningRun, closed: ReadonlySet<string>) => boolean;
}

/** Capacities of a pool after the moves of the round, thousandths of a core. */
interface PoolCapacity {
    readonly pool: PoolForecast;
    /** With the VMs that are under way to it. */
    readonly capacity: number;
    /** Without them. */
    readonly arrivedCapacity: number;
}

/**
 * Plans which VMs of calm pools are closed to new starts, as another pool lacks capacity that no idle VM can give. A pool
 * closes no more than it could lend: its open VMs cover its reserve and its demand, which counts the tasks on closed VMs
 * too. VMs that become empty first are closed first. Runs are stopped only for work that waits now and finds no capacity
 * under way, and only when there is room for all of a VM's stopped runs elsewhere.
 * @param view - the pools, the moves of the round and the VMs that may be closed
 * @returns the VMs to close, all others being open, and the runs to stop
 */
export function planConsolidation({ pools, moves, collectVms, takeRoom }: ConsolidationView): ConsolidationPlan {
    const capacities = pools.filter(({ isSpare }) => !isSpare).map(pool => computeCapacity(pool, pools, moves));
    const short = capacities.filter(item => computePoolShortage(item) > 0);
    let missing = short.reduce((sum, item) => sum + computePoolShortage(item), 0);
    let unmet = short.reduce(
        (sum, { pool, capacity }) => sum + Math.max(0, pool.used + pool.wanted - capacity),
        0,
    );
    const surpluses = new Map(
        capacities.filter(item => !short.includes(item)).map(item => [item.pool.name, computeSurplus(item)] as const)
            .filter(([, surplus]) => surplus > 0),
    );
    const vms = missing > 0 && surpluses.size > 0 ? collectVms(new Set(surpluses.keys())) : [];
    const closed: BusyVm[] = [];
    const emptiestFirst = vms.map(vm => ({ vm, emptyInMs: computeEmptyInMs(vm) }))
        .sort((a, b) => a.emptyInMs - b.emptyInMs);
    for (const { vm } of emptiestFirst) {
        const surplus = surpluses.get(vm.pool) ?? 0;
        if (missing > 0 && surplus >= vm.cpu) {
            surpluses.set(vm.pool, surplus - vm.cpu);
            missing -= vm.cpu;
            closed.push(vm);
        }
    }
    const closedVms = new Set(closed.map(({ vm }) => vm));
    const stops: PinningRun[] = [];
    for (const { cpu, runs } of closed) {
        const picked = unmet > 0 ? pickStops(runs) : [];
        unmet -= cpu;
        if (picked.every(run => takeRoom(run, closedVms))) {
            stops.push(...picked);
        }
    }
    return { closed, stops };
}

function computeCapacity(pool: PoolForecast, pools: readonly PoolForecast[], moves: readonly VmMove[]): PoolCapacity {
    const sumCpu = (selected: readonly VmMove[]): number =>
        selected.reduce((sum, { vm, from }) => {
            const idleVms = pools.find(({ name }) => name === from)?.idleVms;
            return sum + (idleVms?.find(idle => idle.vm === vm)?.cpu ?? 0);
        }, 0);
    const left = sumCpu(moves.filter(({ from }) => from === pool.name));
    const added = sumCpu(moves.filter(({ to }) => to === pool.name));
    return {
        pool,
        capacity: pool.capacity - left + added,
        arrivedCapacity: pool.capacity - pool.incoming - left,
    };
}

function readDemand({ used, wanted, expected }: PoolForecast): { current: number; expected: number } {
    return { current: used + wanted, expected };
}

function computePoolShortage({ pool, capacity }: PoolCapacity): number {
    return computeShortage(readDemand(pool), capacity);
}

function computeSurplus({ pool, arrivedCapacity }: PoolCapacity): number {
    return arrivedCapacity - computeLenderNeed(pool, readDemand(pool), 0);
}

function computeEmptyInMs({ runs }: BusyVm): number {
    return runs.reduce((latest, { remainingMs }) => Math.max(latest, remainingMs), 0);
}
