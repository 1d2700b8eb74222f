import { minClockRate } from "./min-clock-rate.js";

/**
 * Converts between a target's monotonic clock and the leader's. A reading in a response was taken before the response
 * arrived, so the estimate is never ahead of the target's clock by more than the clock drift.
 */
export class TargetClock {
    private readingReceivedAt = 0;
    private reading: number | undefined;
    private latestLeaseEnd = 0;

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
