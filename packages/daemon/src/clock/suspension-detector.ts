import type { Clock } from "./clock.js";

/** Smallest clock jump treated as a suspension, milliseconds. A smaller jump may be an adjustment of the wall clock. */
const minSuspensionMs = 150;
/** Time between the readings of the clocks from which they are read again, milliseconds. */
const maxReadingMs = 10;
/** Number of times that the clocks are read for one check. */
const maxReadings = 3;

/** Readings of the monotonic clock before and after one of the wall clock, milliseconds. */
interface ClockReadings {
    readonly before: number;
    readonly wall: number;
    readonly after: number;
}

/**
 * Detects that the machine was suspended. The monotonic clock may stop during a suspension while the wall clock
 * continues, so a lease measured by the monotonic clock would appear valid for too long. Setting the wall clock forward
 * looks the same and is harmless: it only causes the lease to be confirmed again.
 */
export class SuspensionDetector {
    private wallOffsetMs: number;
    private resumedAt = -1;

    /**
     * @param clock - source of monotonic and wall time
     */
    constructor(private readonly clock: Clock) {
        const { wall, after } = this.readClocks();
        this.wallOffsetMs = wall - after;
    }

    /**
     * Checks for a suspension since the previous call, and returns when the latest one was detected.
     * @returns monotonic milliseconds, or -1 if no suspension was detected
     */
    readLastResume(): number {
        const { before, wall, after } = this.readClocks();
        // The process may have waited for the processor between the readings, which bound the offset.
        if (wall - before - this.wallOffsetMs > minSuspensionMs) {
            this.resumedAt = after;
        }
        this.wallOffsetMs = wall - after;
        return this.resumedAt;
    }

    private readClocks(): ClockReadings {
        let readings = this.readClocksOnce();
        for (let count = 1; count < maxReadings && readings.after - readings.before > maxReadingMs; count++) {
            readings = this.readClocksOnce();
        }
        return readings;
    }

    private readClocksOnce(): ClockReadings {
        const before = this.clock.readMonotonic();
        const wall = this.clock.readWall();
        return { before, wall, after: this.clock.readMonotonic() };
    }
}
