/** Share of a pool's own capacity at which demand beyond long-running tasks counts as its turn. */
const burstDemandShare = 0.5;
/** Time without such demand after which a turn is over, milliseconds. */
const burstEndDelayMs = 1_500;

/** Reserve of a pool whose turn may be next, as a share of its own capacity. */
const reserveShare = 0.4;

/**
 * Remembers whose turn it was. Answers queues that take turns in asking for several times their mean: a pool that has
 * just had its turn will be calm for a while and needs no reserve beyond its long-running tasks, and the pool that
 * has waited longest is the likeliest to be next. Where demand does not take turns, the reserves only decide where idle
 * VMs wait.
 */
export class BurstHistory {
    /** When a pool last asked for much, monotonic milliseconds. */
    private readonly lastBurstTimes = new Map<string, number>();

    /**
     * Notes the demand of a pool.
     * @param pool - the pool
     * @param share - demand beyond long-running tasks as a share of the pool's own capacity
     * @param now - monotonic milliseconds
     */
    recordDemand(pool: string, share: number, now: number): void {
        if (share >= burstDemandShare) {
            this.lastBurstTimes.set(pool, now);
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
        return this.listLikelyNext(pools, now).includes(pool) ? reserveShare : 0;
    }

    /** Those that have had no turn; once all have had one, the one whose turn is longest ago and over. */
    private listLikelyNext(pools: readonly string[], now: number): readonly string[] {
        const unseen = pools.filter(name => !this.lastBurstTimes.has(name));
        if (unseen.length > 0) {
            return unseen;
        }
        const oldest = [...pools].sort((a, b) => this.readLastBurst(a) - this.readLastBurst(b))[0];
        return oldest !== undefined && now - this.readLastBurst(oldest) >= burstEndDelayMs ? [oldest] : [];
    }

    private readLastBurst(pool: string): number {
        return this.lastBurstTimes.get(pool) ?? 0;
    }
}
