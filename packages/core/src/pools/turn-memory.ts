/** Share of a pool's own capacity at which demand beyond long-running tasks counts as its turn. */
const turnShare = 0.5;
/** Time without such demand after which a turn is over, milliseconds. */
const overMs = 1_500;

/** Reserve of a pool whose turn has not been seen yet, as a share of its own capacity. */
const awaitedShare = 0.4;
/** Reserve of the pool whose turn is longest ago, once every pool has had one. */
const nextShare = 0.7;

/**
 * Remembers whose turn it was. Answers queues that take turns in asking for several times their mean: a pool that has
 * just had its turn will be calm for a while and needs no reserve beyond its long-running tasks, and the pool that
 * has waited longest is the likeliest to be next. Where demand does not take turns, the reserves only decide where idle VMs wait.
 */
export class TurnMemory {
    /** When a pool last asked for much, monotonic milliseconds. */
    private readonly lastTurns = new Map<string, number>();

    /**
     * Notes the demand of a pool.
     * @param pool - the pool
     * @param share - demand beyond long-running tasks as a share of the pool's own capacity
     * @param now - monotonic milliseconds
     */
    noteDemand(pool: string, share: number, now: number): void {
        if (share >= turnShare) {
            this.lastTurns.set(pool, now);
        }
    }

    /**
     * Computes how much a pool keeps beyond its long-running tasks while others are short.
     * @param pool - the pool
     * @param pools - all pools
     * @param now - monotonic milliseconds
     * @returns a share of the pool's own capacity
     */
    computeReserve(pool: string, pools: readonly string[], now: number): number {
        const last = this.lastTurns.get(pool);
        if (last === undefined) {
            return awaitedShare;
        }
        const isOver = (name: string): boolean => now - (this.lastTurns.get(name) ?? now) >= overMs;
        if (!isOver(pool) || pools.some(name => !this.lastTurns.has(name))) {
            return 0;
        }
        const isLongestAgo = pools.every(name => (this.lastTurns.get(name) ?? 0) >= last);
        return isLongestAgo ? nextShare : 0;
    }
}
