import type { PoolForecast } from "./pool-forecast.js";
import type { VmMove } from "./vm-move.js";

/** Share of a pool's capacity above which it is short: a burst is to be met before it queues. */
const shortageUtilization = 0.75;
/** The same for demand that is only expected. */
const expectedShortageUtilization = 0.9;
/** Share of its capacity up to which a lender may be in use once it has lent. */
const maxLenderUtilization = 0.85;
/** Share of a pool's capacity below which it gives VMs back; far enough below the others that none goes to and fro. */
const surplusUtilization = 0.7;

/** A pool with what the round has planned for it so far. */
interface PlannedPool {
    readonly pool: PoolForecast;
    capacity: number;
    readonly idle: PoolForecast["idleVms"][number][];
}

/**
 * Plans which VMs change their pool. Answers demand that rises above what a pool holds, pool after pool: idle VMs of
 * the spare pool and of calm pools join the pool that is short. A pool lends down to what it uses itself and to its reserve, keeps
 * what its latest peak needs, and gives the rest back. Only VMs on which nothing runs move, so that no work is cut off.
 * @param pools - all pools
 * @returns the moves
 */
export function planMoves(pools: readonly PoolForecast[]): VmMove[] {
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
    return Math.max((pool.used + pool.wanted) / shortageUtilization, pool.expected / expectedShortageUtilization)
        - capacity;
}

function takeVm(planned: readonly PlannedPool[], borrower: PlannedPool): VmMove | undefined {
    const lenders = planned.filter(item => item !== borrower && isLender(item)).sort(compareLenders);
    for (const lender of lenders) {
        const position = pickIdleVm(lender, borrower.pool.name);
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
function pickIdleVm({ idle }: PlannedPool, borrower: string): number {
    const own = idle.findIndex(vm => vm.home === borrower);
    return own >= 0 ? own : idle.length - 1;
}

/** A pool lends while nothing waits for it and it keeps its reserve and what it uses or will use itself. */
function isLender({ pool, capacity, idle }: PlannedPool): boolean {
    const left = capacity - (idle[0]?.cpu ?? 0);
    const needed = Math.max(
        computeMinCapacity(pool),
        pool.used / maxLenderUtilization,
        pool.expected / maxLenderUtilization,
    );
    return idle.length > 0 && (pool.isSpare || (pool.wanted === 0 && left >= needed));
}

/** Its reserve, and one VM at least where it has any of its own. */
function computeMinCapacity({ reserve, homeCapacity, idleVms }: PoolForecast): number {
    const oneVm = homeCapacity > 0 ? idleVms[0]?.cpu ?? 0 : 0;
    return Math.max(reserve, oneVm);
}

/** Spare VMs first, then the pool with the most to give. */
function compareLenders(a: PlannedPool, b: PlannedPool): number {
    const spare = Number(b.pool.isSpare) - Number(a.pool.isSpare);
    return spare !== 0 ? spare : b.idle.length - a.idle.length;
}

/** What a pool does not need is switched off; without a spare pool, borrowed VMs go home. */
function planReturns(planned: readonly PlannedPool[]): VmMove[] {
    const spare = planned.find(({ pool }) => pool.isSpare)?.pool.name;
    return planned.filter(({ pool }) => !pool.isSpare).flatMap(item =>
        item.idle.flatMap(({ vm, home, cpu }) => {
            const to = spare ?? home;
            const left = item.capacity - cpu;
            const needed = Math.max(
                computeMinCapacity(item.pool),
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
