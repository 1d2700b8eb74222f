import { BurstCurve } from "./burst-curve.js";

/** Share of a pool's own capacity at which demand beyond long-running tasks counts as a burst. */
const burstDemandShare = 0.5;
/** Time without such demand after which a burst is over, milliseconds. */
const burstEndDelayMs = 1_500;
/** Time before a burst that belongs to its curve, milliseconds. */
const leadMs = 3_000;
/** Time after which a burst that was due and has not come is no longer expected, milliseconds. */
const maxDelayMs = 2_000;

/** Reserve of a pool that may have the next burst, as a share of its own capacity. */
const reserveShare = 0.4;

/** The burst of any pool that began before another one. */
interface Predecessor {
    readonly pool: string;
    /** Time between the two, milliseconds. */
    readonly gapMs: number;
}

/** One burst of a pool. */
interface Burst {
    /** Monotonic milliseconds. */
    readonly beganAt: number;
    /** `undefined` for the first burst of all. */
    readonly predecessor: Predecessor | undefined;
    readonly curve: BurstCurve;
}

/** What is known of the bursts of one pool. */
interface PoolRecord {
    /** Demand of the last seconds, which becomes the beginning of the next curve. */
    recent: readonly { readonly at: number; readonly share: number }[];
    current: Burst | undefined;
    /** The last burst that is over. */
    past: Burst | undefined;
    /** When the demand last counted as a burst, monotonic milliseconds; `undefined` if it never did. */
    lastDemandAt: number | undefined;
}

/**
 * Records the bursts of each pool. Demand rises to several times its mean in one queue after another: a pool that has
 * just had its burst stays calm for a while and needs no reserve beyond its long-running tasks, and the pool whose burst
 * is longest ago is the likeliest to be next. A burst is expected to take the course of the one before, as long after
 * another pool's burst as the last time. Where bursts do not rotate, the reserves only decide in which pools idle VMs
 * wait.
 */
export class BurstHistory {
    private readonly records = new Map<string, PoolRecord>();
    /** The burst that began last. */
    private latest: { readonly pool: string; readonly burst: Burst } | undefined;

    /**
     * Records the demand of a pool.
     * @param pool - the pool
     * @param share - demand beyond long-running tasks as a share of the pool's own capacity
     * @param now - monotonic milliseconds
     */
    recordDemand(pool: string, share: number, now: number): void {
        const record = this.findOrCreateRecord(pool);
        if (share >= burstDemandShare) {
            record.lastDemandAt = now;
            record.current ??= this.startBurst(pool, record, now);
        }
        else if (record.current !== undefined && now - (record.lastDemandAt ?? 0) >= burstEndDelayMs) {
            record.past = record.current;
            record.current = undefined;
        }
        record.current?.curve.addSample(now - record.current.beganAt, share);
        record.recent = [...record.recent.filter(({ at }) => now - at <= leadMs), { at: now, share }];
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

    /**
     * Computes the demand of a pool that its last burst lets expect. While one is under way that is smaller so far, it is
     * expected to stay as much smaller.
     * @param pool - the pool
     * @param at - the time of the demand, monotonic milliseconds
     * @param now - monotonic milliseconds
     * @returns a share of the pool's own capacity; 0 unless a burst is under way or due
     */
    computeExpectedShare(pool: string, at: number, now: number): number {
        const { current, past } = this.findOrCreateRecord(pool);
        if (past === undefined) {
            return 0;
        }
        const beganAt = current?.beganAt ?? this.computeDueTime(pool, past);
        const isExpected = beganAt !== undefined && (current !== undefined || now <= beganAt + maxDelayMs);
        return isExpected ? past.curve.readShare(at - beganAt) * computeRelativeSize(current, past, now) : 0;
    }

    /** Computes when the next burst is due, from the burst that came before the last one if that has come again. */
    private computeDueTime(pool: string, { beganAt, predecessor }: Burst): number | undefined {
        if (predecessor === undefined) {
            return this.computeRotationTime(pool);
        }
        const precedingAt = this.readLastBeginning(predecessor.pool);
        return precedingAt > beganAt ? precedingAt + predecessor.gapMs : undefined;
    }

    /** Computes when the first of all pools is due again: after the last of them, as long as that came after another. */
    private computeRotationTime(pool: string): number | undefined {
        const beganAt = this.readLastBeginning(pool);
        const isNext = [...this.records.keys()].every(name => name === pool || this.readLastBeginning(name) > beganAt);
        const gapMs = this.latest?.burst.predecessor?.gapMs;
        return isNext && this.latest !== undefined && gapMs !== undefined
            ? this.latest.burst.beganAt + gapMs
            : undefined;
    }

    /** Lists the pools that have had no burst; once all have had one, the pool whose burst is longest ago and over. */
    private listNextBurstPools(pools: readonly string[], now: number): readonly string[] {
        const withoutBurst = pools.filter(name => this.records.get(name)?.lastDemandAt === undefined);
        if (withoutBurst.length > 0) {
            return withoutBurst;
        }
        const oldest = [...pools].sort((a, b) => this.readLastDemand(a) - this.readLastDemand(b))[0];
        return oldest !== undefined && now - this.readLastDemand(oldest) >= burstEndDelayMs ? [oldest] : [];
    }

    private startBurst(pool: string, { recent }: PoolRecord, now: number): Burst {
        const curve = new BurstCurve();
        recent.forEach(({ at, share }) => {
            curve.addSample(at - now, share);
        });
        const { latest } = this;
        const predecessor = latest && { pool: latest.pool, gapMs: now - latest.burst.beganAt };
        const burst = { beganAt: now, predecessor, curve };
        this.latest = { pool, burst };
        return burst;
    }

    private readLastDemand(pool: string): number {
        return this.records.get(pool)?.lastDemandAt ?? 0;
    }

    private readLastBeginning(pool: string): number {
        const record = this.records.get(pool);
        return (record?.current ?? record?.past)?.beganAt ?? 0;
    }

    private findOrCreateRecord(pool: string): PoolRecord {
        const known = this.records.get(pool);
        if (known !== undefined) {
            return known;
        }
        const record: PoolRecord = { recent: [], current: undefined, past: undefined, lastDemandAt: undefined };
        this.records.set(pool, record);
        return record;
    }
}

/** Computes the demand of a burst so far relative to that of the burst before it over the same time, at most 1. */
function computeRelativeSize(current: Burst | undefined, past: Burst, now: number): number {
    if (current === undefined) {
        return 1;
    }
    const elapsedMs = now - current.beganAt;
    const pastMean = past.curve.computeMeanShare(elapsedMs);
    return pastMean === 0 ? 1 : Math.min(1, current.curve.computeMeanShare(elapsedMs) / pastMean);
}
