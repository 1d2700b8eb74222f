import { clockAheadMarginMs } from "./clock-ahead-margin-ms.js";
import { minClockRate } from "./min-clock-rate.js";

/** Age up to which a heartbeat counts as sent just now, milliseconds. */
const recentMs = 1_500;

/**
 * Age from which the latest reading of an idle target's clock is refreshed, milliseconds. A lease computed from it is at
 * most 2 % of this age shorter than requested.
 */
const maxReadingAgeMs = 60_000;

/**
 * Converts between a target's monotonic clock and the leader's. A reading in a response was taken before the response
 * arrived, and the clock has run at its lowest rate or faster since, so the estimate is never ahead of the target's clock:
 * a lease is at most as long as requested. Only answers count, as a heartbeat may come from an untrusted sender.
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
     * Tells whether a response shows another clock, because another incarnation has executed the request.
     * @param clockMs - the reading in the response, milliseconds
     * @param sentAt - when the request was sent, on the leader's monotonic clock
     * @param now - current time on the leader's monotonic clock
     * @returns false while no answer has stated the clock
     */
    isOther(clockMs: number, sentAt: number, now: number): boolean {
        const isBehind = clockMs < (this.computeReading(sentAt) ?? -Infinity) - 1;
        return this.isKnown() && (isBehind || this.isAhead(clockMs, now));
    }

    /**
     * Tells whether a reading was taken just now.
     * @param clockMs - the reading, milliseconds
     * @param now - current time on the leader's monotonic clock
     * @returns false for older readings, and while no answer has stated the clock
     */
    isRecent(clockMs: number, now: number): boolean {
        return this.isKnown() && clockMs >= (this.computeReading(now) ?? Infinity) - recentMs
            && !this.isAhead(clockMs, now);
    }

    /**
     * Tells whether leases that are computed from the latest reading are too short because of its age.
     * @param now - current time on the leader's monotonic clock
     * @returns true when the clock should be read again
     */
    isReadingOutdated(now: number): boolean {
        return now - this.readingReceivedAt > maxReadingAgeMs;
    }

    /**
     * Computes the end of a new lease.
     * @param now - current time on the leader's monotonic clock
     * @param leaseMs - duration of the lease, milliseconds
     * @returns its end on the target's clock, or `undefined` before the first reading
     */
    computeLeaseEnd(now: number, leaseMs: number): number | undefined {
        const reading = this.computeReading(now);
        return reading === undefined ? undefined : Math.floor(reading + leaseMs);
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

    /** Computes the lowest reading that the clock can show at a time; no clock is fast, so before a reading none is lower. */
    private computeReading(at: number): number | undefined {
        const sinceMs = at - this.readingReceivedAt;
        return this.reading === undefined ? undefined : this.reading + sinceMs * (sinceMs < 0 ? 1 : minClockRate);
    }
}
