import { minClockRate } from "./min-clock-rate.js";

/**
 * Relates a target's steady clock to ours. A reading that came with an answer was taken before the answer arrived, so the
 * estimate is never ahead of the target by more than the clocks' drift.
 */
export class TargetClock {
    private readingReceivedAt = 0;
    private reading: number | undefined;
    private latestLeaseEnd = 0;

    /**
     * Notes a reading.
     * @param clockMs - the target's clock
     * @param receivedAt - our monotonic clock when it arrived
     */
    noteReading(clockMs: number, receivedAt: number): void {
        if (this.reading === undefined || receivedAt >= this.readingReceivedAt) {
            this.reading = clockMs;
            this.readingReceivedAt = receivedAt;
        }
    }

    /**
     * Computes the end of a new lease.
     * @param now - our monotonic clock
     * @param leaseMs - length of the lease
     * @returns time on the target's clock, or `undefined` while that is not known
     */
    computeLeaseEnd(now: number, leaseMs: number): number | undefined {
        if (this.reading === undefined) {
            return undefined;
        }
        return Math.floor(this.reading + (now - this.readingReceivedAt) + leaseMs);
    }

    /**
     * Notes a lease that the target may have granted.
     * @param end - its end on the target's clock
     */
    noteLease(end: number): void {
        this.latestLeaseEnd = Math.max(this.latestLeaseEnd, end);
    }

    /**
     * Computes when every lease that this leader has granted is over for certain.
     * @returns our monotonic clock, or `undefined` while the target's clock is not known
     */
    computeLeaseExpiry(): number | undefined {
        return this.reading === undefined
            ? undefined
            : this.readingReceivedAt + Math.max(0, this.latestLeaseEnd - this.reading) / minClockRate;
    }
}
