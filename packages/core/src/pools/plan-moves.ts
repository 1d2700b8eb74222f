import type { PoolForecast } from "./pool-forecast.js";
import type { VmMove } from "./vm-move.js";

/** Utilization above which a pool is short of VMs; below 1 so that VMs are added before a burst queues. */
const shortageUtilization = 0.75;
/** Utilization by forecast demand above which a pool is short of VMs. */
const expectedShortageUtilization = 0.9;
/** Highest utilization that a lending pool may have after it has lent a VM. */
const maxLenderUtilization = 0.85;
/** Maximum utilization of a pool after it has returned a VM; low enough that no VM moves back and forth. */
const surplusUtilization = 0.7;

/** A pool with its capacity and idle VMs after the moves that the round has planned so far. */
interface PlannedPool {
    readonly pool: PoolForecast;
    capacity: number;
    readonly idle: PoolForecast["idleVms"][number][];
}

/** Part of its reserve that a pool keeps when it lends a VM. */
enum KeptReserve {
    Whole,
    Protected,
}

/**
 * Plans which VMs change their pool. Demand exceeds the capacity of one pool after another, so idle VMs of the spare
 * pool and of calm pools move to the pool that is short. A pool lends VMs as long as it keeps enough capacity for its
 * own demand and its reserve, and of its reserve only a part while tasks of another pool have no capacity left. VMs that
 * the spare pool has left fill up the reserves. A pool returns its idle VMs except those that its recent peak, its
 * forecast demand or its reserve needs. Only VMs on which nothing runs move, so that no task is aborted.
 * @param pools - all pools
 * @returns the moves
 */
export function planMoves(pools: readonly PoolForecast[]): VmMove[] {
    const planned = pools.map(pool => ({ pool, capacity: pool.capacity, idle: [...pool.idleVms] }));
    return [
        ...planLoans(planned, KeptReserve.Whole, computeShortage),
        ...planLoans(planned, KeptReserve.Protected, computeUncoveredDemand),
        ...planReserves(planned),
        ...planReturns(planned),
    ];
}

function planLoans(
    planned: readonly PlannedPool[],
    kept: KeptReserve,
    computeNeed: (item: PlannedPool) => number,
): VmMove[] {
    const byNeed = planned.filter(item => !item.pool.isSpare && computeNeed(item) > 0)
        .sort((a, b) => computeNeed(b) - computeNeed(a));
    const moves: VmMove[] = [];
    for (let hasLent = true; hasLent;) {
        hasLent = false;
        for (const borrower of byNeed) {
            const move = computeNeed(borrower) > 0 ? takeVm(planned, borrower, kept) : undefined;
            if (move !== undefined) {
                moves.push(move);
                hasLent = true;
            }
        }
    }
    return moves;
}

function computeShortage({ pool, capacity }: PlannedPool): number {
    return Math.max((pool.used + pool.wanted) / shortageUtilization, pool.expected / expectedShortageUtilization)
        - capacity;
}

/** Computes by how much the tasks of a pool, running and waiting, exceed its capacity. */
function computeUncoveredDemand({ pool, capacity }: PlannedPool): number {
    return pool.used + pool.wanted - capacity;
}

function takeVm(planned: readonly PlannedPool[], borrower: PlannedPool, kept: KeptReserve): VmMove | undefined {
    const lenders = planned.filter(item => item !== borrower && isLender(item, kept)).sort(compareLenders);
    for (const lender of lenders) {
        const move = takeIdleVm(lender, borrower);
        if (move !== undefined) {
            return move;
        }
    }
    return undefined;
}

/** Moves one idle VM, preferably one whose home is the borrowing pool; returns `undefined` when there is none. */
function takeIdleVm(lender: PlannedPool, borrower: PlannedPool): VmMove | undefined {
    const own = lender.idle.findIndex(({ home }) => home === borrower.pool.name);
    const position = own >= 0 ? own : lender.idle.length - 1;
    const [idle] = position < 0 ? [] : lender.idle.splice(position, 1);
    if (idle === undefined) {
        return undefined;
    }
    lender.capacity -= idle.cpu;
    borrower.capacity += idle.cpu;
    return { vm: idle.vm, from: lender.pool.name, to: borrower.pool.name };
}

/**
 * Tells whether a pool may lend a VM. A spare pool may while it has an idle VM; another pool only while no task waits
 * in it and the capacity left covers its reserve and its current and forecast demand.
 */
function isLender({ pool, capacity, idle }: PlannedPool, kept: KeptReserve): boolean {
    const left = capacity - (idle[0]?.cpu ?? 0);
    const needed = Math.max(
        computeMinCapacity(pool, kept),
        pool.used / maxLenderUtilization,
        pool.expected / maxLenderUtilization,
    );
    return idle.length > 0 && (pool.isSpare || (pool.wanted === 0 && left >= needed));
}

/** Computes the capacity that a pool keeps: its reserve, and at least one VM when it is the home of any. */
function computeMinCapacity(
    { reserve, protectedReserve, homeCapacity, idleVms }: PoolForecast,
    kept: KeptReserve,
): number {
    const oneVm = homeCapacity > 0 ? idleVms[0]?.cpu ?? 0 : 0;
    return Math.max(kept === KeptReserve.Whole ? reserve : protectedReserve, oneVm);
}

/** Fills up the reserves with the VMs that the spare pools have left. */
function planReserves(planned: readonly PlannedPool[]): VmMove[] {
    const spares = planned.filter(({ pool }) => pool.isSpare);
    return planned.filter(({ pool }) => !pool.isSpare).flatMap(item => {
        const moves: VmMove[] = [];
        for (const spare of spares) {
            while (item.capacity < item.pool.reserve) {
                const move = takeIdleVm(spare, item);
                if (move === undefined) {
                    break;
                }
                moves.push(move);
            }
        }
        return moves;
    });
}

/** Orders spare pools first, then pools by their number of idle VMs, most first. */
function compareLenders(a: PlannedPool, b: PlannedPool): number {
    const spare = Number(b.pool.isSpare) - Number(a.pool.isSpare);
    return spare !== 0 ? spare : b.idle.length - a.idle.length;
}

/** Moves VMs that a pool does not need to the spare pool; without a spare pool, returns borrowed VMs to their home. */
function planReturns(planned: readonly PlannedPool[]): VmMove[] {
    const spare = planned.find(({ pool }) => pool.isSpare)?.pool.name;
    return planned.filter(({ pool }) => !pool.isSpare).flatMap(item =>
        item.idle.flatMap(({ vm, home, cpu }) => {
            const to = spare ?? home;
            const left = item.capacity - cpu;
            const needed = Math.max(
                computeMinCapacity(item.pool, KeptReserve.Whole),
                Math.max(item.pool.peak, item.pool.expected) / surplusUtilization,
            );
            if (left < needed || to === item.pool.name) {
                return [];
            }
            item.capacity = left;
            return [{ vm, from: item.pool.name, to }];
        })
    );
}
