import { clockAheadMarginMs } from "./clock-ahead-margin-ms.js";
import { minClockRate } from "./min-clock-rate.js";

/** Age up to which a heartbeat counts as sent just now, milliseconds. */
const recentMs = 1_500;

/**
 * Converts between a target's monotonic clock and the leader's. A reading in a response was taken before the response
 * arrived, so the estimate is never ahead of the target's clock by more than the clock drift.
 */
export class TargetClock {
    private readingReceivedAt = 0;
    private reading: number | undefined;
    private latestLeaseEnd = 0;
    /** Lead of the target's clock over the leader's in the latest answer. No target's clock is fast, so it never grows. */
    private lead: number | undefined;

    /**
     * Records a reading of the target's clock.
     * @param clockMs - the reading, milliseconds
     * @param receivedAt - when it arrived, on the leader's monotonic clock
     */
    noteReading(clockMs: number, receivedAt: number): void {
        if (this.reading === undefined || receivedAt >= this.readingReceivedAt) {
            this.reading = clockMs;
            this.readingReceivedAt = receivedAt;
        }
    }

    /**
     * Records a reading in an answer of the incarnation whose clock this is.
     * @param clockMs - the reading, milliseconds
     * @param receivedAt - when it arrived, on the leader's monotonic clock
     */
    noteAnswer(clockMs: number, receivedAt: number): void {
        this.lead = clockMs - receivedAt;
    }

    /**
     * Records the reading in a heartbeat. Only answers prove a later reading than the estimate, from which leases would
     * seem to have expired.
     * @param clockMs - the reading, milliseconds
     * @param receivedAt - when it arrived, on the leader's monotonic clock
     */
    noteReport(clockMs: number, receivedAt: number): void {
        if (this.isRecent(clockMs, receivedAt) && clockMs <= this.computeReading(receivedAt)) {
            this.noteReading(clockMs, receivedAt);
        }
    }

    /**
     * Tells whether an answer has stated the target's clock.
     * @returns true from the first such answer on
     */
    isKnown(): boolean {
        return this.lead !== undefined;
    }

    /**
     * Tells whether a reading is ahead of the target's clock, so that this incarnation cannot have sent it.
     * @param clockMs - the reading, milliseconds
     * @param at - when it was there at the latest, on the leader's monotonic clock
     * @returns false while no answer has stated the clock
     */
    isAhead(clockMs: number, at: number): boolean {
        return this.lead !== undefined && clockMs > this.lead + at + clockAheadMarginMs;
    }

    /**
     * Tells whether a reading was taken just now.
     * @param clockMs - the reading, milliseconds
     * @param now - current time on the leader's monotonic clock
     * @returns false for older readings, and while no answer has stated the clock
     */
    isRecent(clockMs: number, now: number): boolean {
        const elapsedMs = now - this.readingReceivedAt;
        return this.isKnown() && clockMs >= (this.reading ?? Infinity) + elapsedMs * minClockRate - recentMs
            && !this.isAhead(clockMs, now);
    }

    private computeReading(now: number): number {
        return (this.reading ?? -Infinity) + now - this.readingReceivedAt;
    }

    /**
     * Computes the end of a new lease.
     * @param now - current time on the leader's monotonic clock
     * @param leaseMs - duration of the lease, milliseconds
     * @returns its end on the target's clock, or `undefined` before the first reading
     */
    computeLeaseEnd(now: number, leaseMs: number): number | undefined {
        if (this.reading === undefined) {
            return undefined;
        }
        return Math.floor(this.reading + (now - this.readingReceivedAt) + leaseMs);
    }

    /**
     * Records a lease that the target may have granted.
     * @param end - its end on the target's clock
     */
    noteLease(end: number): void {
        this.latestLeaseEnd = Math.max(this.latestLeaseEnd, end);
    }

    /**
     * Computes when every lease that this leader has granted has expired for certain.
     * @returns time on the leader's monotonic clock, or `undefined` before the first reading
     */
    computeLeaseExpiry(): number | undefined {
        return this.reading === undefined
            ? undefined
            : this.readingReceivedAt + Math.max(0, this.latestLeaseEnd - this.reading) / minClockRate;
    }
}
