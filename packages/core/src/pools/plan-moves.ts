import { computeLenderNeed } from "./compute-lender-need.js";
import { computeShortage } from "./compute-shortage.js";
import type { CountedDemand } from "./counted-demand.js";
import { expectedShortageUtilization } from "./expected-shortage-utilization.js";
import type { PoolForecast } from "./pool-forecast.js";
import type { VmMove } from "./vm-move.js";

/** Maximum utilization of a pool after it has returned a VM; low enough that no VM moves back and forth. */
const surplusUtilization = 0.7;

type ReadDemand = (pool: PoolForecast) => CountedDemand;

/** A pool with its capacity and idle VMs after the moves that the round has planned so far. */
interface PlannedPool {
    readonly pool: PoolForecast;
    /** With the VMs that are under way to it. */
    capacity: number;
    /** Without them. */
    arrivedCapacity: number;
    readonly idle: PoolForecast["idleVms"][number][];
}

/**
 * Plans which VMs change their pool. Demand exceeds the capacity of one pool after another, so idle VMs of the spare
 * pool and of calm pools move to the pool that is short. A pool lends VMs as long as it keeps enough capacity for its
 * own demand and its reserve. Pools whose tasks can be on time come first: work that is late in any case neither borrows
 * before them nor keeps VMs from them. Spare VMs that no pool is short of fill the reserves. A pool returns the idle VMs
 * that are left then, except those that its recent peak, its forecast demand or its reserve needs. VMs under way to a
 * pool do not count for what it gives away, as its tasks wait for them and can start on those that have arrived. Only
 * VMs on which nothing runs move, so that no task is aborted.
 * @param pools - all pools
 * @returns the moves
 */
export function planMoves(pools: readonly PoolForecast[]): VmMove[] {
    const planned = pools.map(pool => ({
        pool,
        capacity: pool.capacity,
        arrivedCapacity: pool.capacity - pool.incoming,
        idle: [...pool.idleVms],
    }));
    return [
        ...planLoans(planned, readOnTimeDemand),
        ...planLoans(planned, readDemand),
        ...planReserves(planned),
        ...planReturns(planned),
    ];
}

function readDemand({ used, wanted, expected }: PoolForecast): CountedDemand {
    return { current: used + wanted, expected };
}

function readOnTimeDemand({ used, wanted, wantedLate, expectedOnTime }: PoolForecast): CountedDemand {
    return { current: used + wanted - wantedLate, expected: expectedOnTime };
}

/** Moves idle VMs to the pools whose counted demand exceeds their capacity, one VM to each in turn. */
function planLoans(planned: readonly PlannedPool[], read: ReadDemand): VmMove[] {
    const compute = ({ pool, capacity }: PlannedPool): number => computeShortage(read(pool), capacity);
    const byShortage = planned.filter(item => !item.pool.isSpare && compute(item) > 0)
        .sort((a, b) => compute(b) - compute(a));
    const moves: VmMove[] = [];
    for (let hasLent = true; hasLent;) {
        hasLent = false;
        for (const borrower of byShortage) {
            const move = compute(borrower) > 0 ? takeVm(planned, borrower, read) : undefined;
            if (move !== undefined) {
                moves.push(move);
                hasLent = true;
            }
        }
    }
    return moves;
}

function takeVm(planned: readonly PlannedPool[], borrower: PlannedPool, read: ReadDemand): VmMove | undefined {
    const lenders = planned.filter(item => item !== borrower && isLender(item, read)).sort(compareLenders);
    for (const lender of lenders) {
        const position = pickIdleVm(lender, borrower.pool.name);
        const [idle] = position < 0 ? [] : lender.idle.splice(position, 1);
        if (idle !== undefined) {
            lender.capacity -= idle.cpu;
            lender.arrivedCapacity -= idle.cpu;
            borrower.capacity += idle.cpu;
            return { vm: idle.vm, from: lender.pool.name, to: borrower.pool.name };
        }
    }
    return undefined;
}

/** Prefers the VMs whose home is the borrowing pool. */
function pickIdleVm({ idle }: PlannedPool, borrower: string): number {
    const own = idle.findIndex(vm => vm.home === borrower);
    return own >= 0 ? own : idle.length - 1;
}

/**
 * Tells whether a pool may lend a VM. A spare pool may while it has an idle VM; another pool while the capacity left
 * without VMs under way covers its reserve, its counted demand (of waiting tasks too) and the forecast of it.
 */
function isLender({ pool, arrivedCapacity, idle }: PlannedPool, read: ReadDemand): boolean {
    const left = arrivedCapacity - (idle[0]?.cpu ?? 0);
    const needed = computeLenderNeed(pool, read(pool), computeMinCapacity(pool));
    return idle.length > 0 && (pool.isSpare || left >= needed);
}

/** Computes the capacity that a pool always keeps: its reserve, and at least one VM when it is the home of any. */
function computeMinCapacity({ reserve, homeCapacity, idleVms }: PoolForecast): number {
    const oneVm = homeCapacity > 0 ? idleVms[0]?.cpu ?? 0 : 0;
    return Math.max(reserve, oneVm);
}

/** Orders spare pools first, then pools by their number of idle VMs, most first. */
function compareLenders(a: PlannedPool, b: PlannedPool): number {
    const spare = Number(b.pool.isSpare) - Number(a.pool.isSpare);
    return spare !== 0 ? spare : b.idle.length - a.idle.length;
}

/** Moves idle VMs of the spare pools to the pools whose capacity is below their reserve, one to each in turn. */
function planReserves(planned: readonly PlannedPool[]): VmMove[] {
    const spares = planned.filter(({ pool }) => pool.isSpare);
    const others = planned.filter(({ pool }) => !pool.isSpare);
    const moves: VmMove[] = [];
    for (let hasMoved = true; hasMoved;) {
        hasMoved = false;
        for (const item of others) {
            const move = takeSpareVm(findSpare(spares), item);
            if (move !== undefined) {
                moves.push(move);
                hasMoved = true;
            }
        }
    }
    return moves;
}

/** Takes a VM of a spare pool for the reserve of another pool, if that lacks a whole one. */
function takeSpareVm(spare: PlannedPool | undefined, item: PlannedPool): VmMove | undefined {
    const position = spare === undefined ? -1 : pickIdleVm(spare, item.pool.name);
    const idle = spare?.idle[position];
    if (spare === undefined || idle === undefined || item.capacity + idle.cpu > item.pool.reserve) {
        return undefined;
    }
    spare.idle.splice(position, 1);
    item.capacity += idle.cpu;
    return { vm: idle.vm, from: spare.pool.name, to: item.pool.name };
}

function findSpare(spares: readonly PlannedPool[]): PlannedPool | undefined {
    return spares.find(({ idle }) => idle.length > 0);
}

/** Moves VMs that a pool does not need to the spare pool; without a spare pool, returns borrowed VMs to their home. */
function planReturns(planned: readonly PlannedPool[]): VmMove[] {
    const spare = planned.find(({ pool }) => pool.isSpare)?.pool.name;
    return planned.filter(({ pool }) => !pool.isSpare).flatMap(item =>
        item.idle.flatMap(({ vm, home, cpu }) => {
            const to = spare ?? home;
            const left = item.arrivedCapacity - cpu;
            const needed = Math.max(
                computeMinCapacity(item.pool),
                Math.max(item.pool.peak, item.pool.expected) / surplusUtilization,
                item.pool.expectedPeak / expectedShortageUtilization,
            );
            if (left < needed || to === item.pool.name) {
                return [];
            }
            item.arrivedCapacity = left;
            return [{ vm, from: item.pool.name, to }];
        })
    );
}
