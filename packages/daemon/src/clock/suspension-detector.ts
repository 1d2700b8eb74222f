import type { Clock } from "./clock.js";

/** Least jump that counts as a suspension, milliseconds; below it the wall clock may merely have been adjusted. */
const minSuspensionMs = 150;

/**
 * Finds out that the machine was suspended. A monotonic clock may stand still meanwhile, so that a lease measured by it
 * would seem valid for too long; the wall clock goes on. A wall clock that is set forward looks the same, which is
 * harmless: the lease then has to be confirmed once more.
 */
export class SuspensionDetector {
    private wallOffsetMs: number;
    private resumedAt = -1;

    /**
     * @param clock - the clocks
     */
    constructor(private readonly clock: Clock) {
        this.wallOffsetMs = clock.readWall() - clock.readMonotonic();
    }

    /**
     * Reads when the machine last resumed.
     * @returns monotonic milliseconds; -1 for never
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
