/** Share of a pool's own capacity at which demand beyond long-running tasks counts as a burst. */
const burstDemandShare = 0.5;
/** Time without such demand after which a burst is over, milliseconds. */
const burstEndDelayMs = 1_500;

/** Reserve of a pool that may have the next burst, as a share of its own capacity. */
const reserveShare = 0.4;

/**
 * Records when each pool last had a burst. Demand rises to several times its mean in one queue after another: a pool
 * that has just had its burst stays calm for a while and needs no reserve beyond its long-running tasks, and the pool
 * whose burst is longest ago is the likeliest to be next. Where bursts do not rotate, the reserves only decide in which
 * pools idle VMs wait.
 */
export class BurstHistory {
    /** When the demand of a pool last counted as a burst, monotonic milliseconds. */
    private readonly lastBurstTimes = new Map<string, number>();

    /**
     * Records the demand of a pool.
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
     * Computes the capacity that a pool keeps beyond its long-running tasks while other pools are short of VMs.
     * @param pool - the pool
     * @param pools - all pools
     * @param now - monotonic milliseconds
     * @returns a share of the pool's own capacity
     */
    computeReserve(pool: string, pools: readonly string[], now: number): number {
        return this.listNextBurstPools(pools, now).includes(pool) ? reserveShare : 0;
    }

    /** Lists the pools that have had no burst; once all have had one, the pool whose burst is longest ago and over. */
    private listNextBurstPools(pools: readonly string[], now: number): readonly string[] {
        const withoutBurst = pools.filter(name => !this.lastBurstTimes.has(name));
        if (withoutBurst.length > 0) {
            return withoutBurst;
        }
        const oldest = [...pools].sort((a, b) => this.readLastBurst(a) - this.readLastBurst(b))[0];
        return oldest !== undefined && now - this.readLastBurst(oldest) >= burstEndDelayMs ? [oldest] : [];
    }

    private readLastBurst(pool: string): number {
        return this.lastBurstTimes.get(pool) ?? 0;
    }
}
