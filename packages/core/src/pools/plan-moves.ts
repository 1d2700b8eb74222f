import type { PoolView } from "./pool-view.js";
import type { VmMove } from "./vm-move.js";

/** Share of a pool's capacity above which it is short: a burst is to be met before it queues. */
const shortShare = 0.7;
/** Share of its own capacity that a pool keeps while it lends VMs, so that the beginning of its own burst is served. */
const keptShare = 0.5;
/** Time for which a pool has to be calm before borrowed VMs go back, milliseconds; a burst has gaps of that length. */
const returnAfterMs = 1_200;

/** A pool with what the round has planned for it so far. */
interface PlannedPool {
    readonly pool: PoolView;
    capacity: number;
    readonly idle: PoolView["idleVms"][number][];
}

/**
 * Plans which VMs change their pool. Answers demand that rises above what a pool holds, pool after pool: idle VMs of
 * the spare pool and of calm pools join the pool that is short, and go home when it has been calm for a while. Only VMs
 * on which nothing runs move, so that no work is cut off.
 * @param pools - all pools
 * @returns the moves
 */
export function planMoves(pools: readonly PoolView[]): VmMove[] {
    const planned = pools.map(pool => ({ pool, capacity: pool.capacity, idle: [...pool.idleVms] }));
    const byShortage = planned.filter(item => !item.pool.isSpare && computeShortage(item) > 0)
        .sort((a, b) => computeShortage(b) - computeShortage(a));
    const moves: VmMove[] = [];
    for (let lent = true; lent;) {
        lent = false;
        for (const borrower of byShortage) {
            const move = computeShortage(borrower) > 0 ? takeVm(planned, borrower) : undefined;
            if (move !== undefined) {
                moves.push(move);
                lent = true;
            }
        }
    }
    return [...moves, ...planReturns(planned)];
}

function computeShortage({ pool, capacity }: PlannedPool): number {
    return (pool.used + pool.wanted) / shortShare - capacity;
}

function takeVm(planned: readonly PlannedPool[], borrower: PlannedPool): VmMove | undefined {
    const lenders = planned.filter(item => item !== borrower && isLending(item)).sort(compareLenders);
    for (const lender of lenders) {
        const position = pickIdle(lender, borrower.pool.name);
        const [idle] = position < 0 ? [] : lender.idle.splice(position, 1);
        if (idle !== undefined) {
            lender.capacity -= idle.cpu;
            borrower.capacity += idle.cpu;
            return { vm: idle.vm, from: lender.pool.name, to: borrower.pool.name };
        }
    }
    return undefined;
}

/** The borrower's own VMs come back first. */
function pickIdle({ idle }: PlannedPool, borrower: string): number {
    const own = idle.findIndex(vm => vm.home === borrower);
    return own >= 0 ? own : idle.length - 1;
}

/** A pool lends while it keeps a part of its own capacity and stays far from being short itself. */
function isLending(item: PlannedPool): boolean {
    const { pool, capacity, idle } = item;
    const cpu = idle[0]?.cpu ?? 0;
    const left = capacity - cpu;
    const isForeign = idle.some(vm => vm.home !== pool.name);
    return idle.length > 0 && (pool.isSpare
        || (pool.wanted === 0 && pool.used <= left * keptShare
            && (isForeign || left >= pool.homeCapacity * keptShare)));
}

/** Spare VMs first, then the pool with the most to give. */
function compareLenders(a: PlannedPool, b: PlannedPool): number {
    const spare = Number(b.pool.isSpare) - Number(a.pool.isSpare);
    return spare !== 0 ? spare : b.idle.length - a.idle.length;
}

function planReturns(planned: readonly PlannedPool[]): VmMove[] {
    return planned.filter(({ pool }) => !pool.isSpare && pool.calmMs >= returnAfterMs).flatMap(item =>
        item.idle.filter(({ home }) => home !== item.pool.name).flatMap(({ vm, home, cpu }) => {
            const left = item.capacity - cpu;
            if (item.pool.used > left * keptShare) {
                return [];
            }
            item.capacity = left;
            return [{ vm, from: item.pool.name, to: home }];
        })
    );
}
