/** Share of a pool's own capacity at which demand counts as a burst, and at which the burst counts as over. */
const burstShare = 0.4;
const overShare = 0.2;
/** Time from the beginning of a burst for which the size of earlier ones is taken for its own, milliseconds. */
const guessMs = 2_500;
/** How much of a remembered size is left after each burst, so that a single large one fades. */
const fading = 0.9;
/** Share of the remembered size that is called for. */
const calledShare = 0.85;

interface PoolBurst {
    /** Monotonic milliseconds; `undefined` between bursts. */
    startedAt: number | undefined;
    /** Highest share in this burst. */
    peak: number;
}

/**
 * Remembers how far bursts rose above what a pool holds. Answers queues that take turns in asking for several times their
 * mean: at the beginning of a burst VMs are called for the size that earlier ones had, in whichever pool, instead of
 * following the rise step by step.
 */
export class BurstMemory {
    private readonly pools = new Map<string, PoolBurst>();
    private remembered = 0;

    /**
     * Notes the demand of a pool.
     * @param pool - the pool
     * @param share - demand beyond long-running tasks, as a share of the pool's own capacity
     * @param now - monotonic milliseconds
     * @returns the share that the burst is expected to reach; 0 when none has just begun
     */
    noteDemand(pool: string, share: number, now: number): number {
        const burst = this.pools.get(pool) ?? { startedAt: undefined, peak: 0 };
        this.pools.set(pool, burst);
        if (burst.startedAt === undefined && share >= burstShare) {
            burst.startedAt = now;
            burst.peak = 0;
        }
        else if (burst.startedAt !== undefined && share < overShare) {
            burst.startedAt = undefined;
            this.remembered = Math.max(this.remembered * fading, burst.peak);
        }
        burst.peak = Math.max(burst.peak, share);
        const isYoung = burst.startedAt !== undefined && now - burst.startedAt <= guessMs;
        return isYoung ? this.remembered * calledShare : 0;
    }
}
