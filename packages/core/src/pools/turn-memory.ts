/** Share of a pool's own capacity at which demand beyond long-running tasks counts as its turn. */
const turnShare = 0.5;
/** Share of the highest demand of a turn below which the turn is ending. */
const endingShare = 0.6;
/** Time without such demand after which a turn is over, milliseconds. */
const overMs = 1_500;
/** Time from the end of a turn for which the next one is prepared for, milliseconds. */
const handoverMs = 6_000;

/** Reserve of a pool whose turn may be next, as a share of its own capacity. */
const usualShare = 0.4;
/** Reserve while a turn ends, shared by the pools whose turn may be next: what a turn asks for in its first two seconds. */
const handoverShare = 1.7;

/** The newest turn of one pool. */
interface Turn {
    /** When it last asked for much, monotonic milliseconds. */
    lastAt: number;
    /** Highest demand of the turn as a share of the pool's own capacity. */
    peak: number;
    /** Since when demand has been far below the peak; `undefined` before. */
    endingSince: number | undefined;
}

/**
 * Remembers whose turn it was. Answers queues that take turns in asking for several times their mean: a pool that has
 * just had its turn will be calm for a while and needs no reserve beyond its long-running tasks, and the pool that
 * has waited longest is the likeliest to be next. While a turn ends, the VMs that it frees go to the pools that may be
 * next, as a VM that is called when demand has risen comes 1.5 s too late. Where demand does not take turns, the
 * reserves only decide where idle VMs wait.
 */
export class TurnMemory {
    private readonly turns = new Map<string, Turn>();

    /**
     * Notes the demand of a pool.
     * @param pool - the pool
     * @param share - demand beyond long-running tasks as a share of the pool's own capacity
     * @param now - monotonic milliseconds
     */
    noteDemand(pool: string, share: number, now: number): void {
        const known = this.turns.get(pool);
        if (share >= turnShare && (known === undefined || now - known.lastAt >= overMs)) {
            this.turns.set(pool, { lastAt: now, peak: share, endingSince: undefined });
            return;
        }
        if (known === undefined) {
            return;
        }
        known.lastAt = share >= turnShare ? now : known.lastAt;
        known.peak = Math.max(known.peak, share);
        known.endingSince = share >= endingShare * known.peak ? undefined : known.endingSince ?? now;
    }

    /**
     * Computes how much a pool keeps beyond its long-running tasks while others are short.
     * @param pool - the pool
     * @param pools - all pools
     * @param now - monotonic milliseconds
     * @returns a share of the pool's own capacity
     */
    computeReserve(pool: string, pools: readonly string[], now: number): number {
        const next = this.listNext(pools, now);
        if (!next.includes(pool)) {
            return 0;
        }
        return this.isHandover(pools, now) ? Math.max(usualShare, handoverShare / next.length) : usualShare;
    }

    /** Those that have had no turn; once all have had one, the one whose turn is longest ago and over. */
    private listNext(pools: readonly string[], now: number): readonly string[] {
        const unseen = pools.filter(name => !this.turns.has(name));
        if (unseen.length > 0) {
            return unseen;
        }
        const oldest = [...pools].sort((a, b) => this.readLast(a) - this.readLast(b))[0];
        return oldest !== undefined && now - this.readLast(oldest) >= overMs ? [oldest] : [];
    }

    /** A turn is ending and no other has begun. */
    private isHandover(pools: readonly string[], now: number): boolean {
        const turns = pools.flatMap(name => this.turns.get(name) ?? []);
        const isAtPeak = turns.some(({ endingSince, lastAt }) => endingSince === undefined && now - lastAt < overMs);
        return !isAtPeak
            && turns.some(({ endingSince }) => endingSince !== undefined && now - endingSince < handoverMs);
    }

    private readLast(pool: string): number {
        return this.turns.get(pool)?.lastAt ?? 0;
    }
}
