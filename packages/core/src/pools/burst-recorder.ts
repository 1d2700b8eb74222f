import { BurstCurve } from "./burst-curve.js";

/** Share of a pool's own capacity at which demand beyond long-running tasks counts as a burst. */
const burstDemandShare = 0.5;
/** Time without such demand after which a burst is over, milliseconds. */
const burstEndDelayMs = 1_500;
/** Time before a burst that belongs to its curve, milliseconds. */
const leadMs = 3_000;
/** Time after which a burst that was due and has not come is no longer expected, milliseconds. */
const maxDelayMs = 2_000;

/** One burst of a pool. */
interface Burst {
    /** Monotonic milliseconds. */
    readonly beganAt: number;
    /** The pool whose burst began before it, and the time between the two; `undefined` for the first burst of all. */
    readonly predecessor: { readonly pool: string; readonly gapMs: number } | undefined;
    readonly curve: BurstCurve;
}

interface PoolRecord {
    /** Samples of the last time without a burst. */
    calm: { readonly at: number; readonly share: number }[];
    current: Burst | undefined;
    /** The last burst that is over. */
    past: Burst | undefined;
    lastBurstDemandAt: number;
}

/**
 * Records the bursts of each pool: which pool's burst came before, how much later it began, and its demand over time. A
 * burst is expected to take the course of the one before, and to follow the same pool's burst at the same time.
 */
export class BurstRecorder {
    private readonly records = new Map<string, PoolRecord>();
    /** The burst that began last. */
    private latest: { readonly pool: string; readonly beganAt: number } | undefined;

    /**
     * Records the demand of a pool.
     * @param pool - the pool
     * @param share - demand beyond long-running tasks as a share of the pool's own capacity
     * @param now - monotonic milliseconds
     */
    recordDemand(pool: string, share: number, now: number): void {
        const record = this.findOrCreateRecord(pool);
        if (share >= burstDemandShare) {
            record.lastBurstDemandAt = now;
            record.current ??= this.startBurst(pool, record, now);
        }
        else if (record.current !== undefined && now - record.lastBurstDemandAt >= burstEndDelayMs) {
            record.past = record.current;
            record.current = undefined;
        }
        record.current?.curve.addSample(now - record.current.beganAt, share);
        record.calm = [...record.calm.filter(({ at }) => now - at <= leadMs), { at: now, share }];
    }

    /**
     * Computes the demand of a pool that its last burst lets expect.
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
        const beganAt = current?.beganAt ?? this.computeDueTime(past);
        const isExpected = beganAt !== undefined && (current !== undefined || now <= beganAt + maxDelayMs);
        return isExpected ? past.curve.readShare(at - beganAt) : 0;
    }

    /** Computes when the next burst is due, from the burst that came before the last one if that has come again. */
    private computeDueTime({ beganAt, predecessor }: Burst): number | undefined {
        const record = predecessor === undefined ? undefined : this.records.get(predecessor.pool);
        const precedingAt = (record?.current ?? record?.past)?.beganAt;
        const isAgain = predecessor !== undefined && precedingAt !== undefined && precedingAt > beganAt;
        return isAgain ? precedingAt + predecessor.gapMs : undefined;
    }

    private startBurst(pool: string, { calm }: PoolRecord, now: number): Burst {
        const curve = new BurstCurve();
        calm.forEach(({ at, share }) => {
            curve.addSample(at - now, share);
        });
        const { latest } = this;
        this.latest = { pool, beganAt: now };
        const predecessor = latest === undefined ? undefined : { pool: latest.pool, gapMs: now - latest.beganAt };
        return { beganAt: now, predecessor, curve };
    }

    private findOrCreateRecord(pool: string): PoolRecord {
        const known = this.records.get(pool);
        if (known !== undefined) {
            return known;
        }
        const record: PoolRecord = { calm: [], current: undefined, past: undefined, lastBurstDemandAt: 0 };
        this.records.set(pool, record);
        return record;
    }
}
