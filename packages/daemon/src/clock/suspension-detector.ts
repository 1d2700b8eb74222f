import type { Clock } from "./clock.js";

/** Smallest clock jump treated as a suspension, milliseconds. A smaller jump may be an adjustment of the wall clock. */
const minSuspensionMs = 150;

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
        this.wallOffsetMs = clock.readWall() - clock.readMonotonic();
    }

    /**
     * Checks for a suspension since the previous call, and returns when the latest one was detected.
     * @returns monotonic milliseconds, or -1 if no suspension was detected
     */
    readLastResume(): number {
        const now = this.clock.readMonotonic();
        const offset = this.clock.readWall() - now;
        if (offset - this.wallOffsetMs > minSuspensionMs) {
            this.resumedAt = now;
        }
        this.wallOffsetMs = offset;
        return this.resumedAt;
    }
}
