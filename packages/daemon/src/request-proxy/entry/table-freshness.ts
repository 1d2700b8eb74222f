import type { Clock } from "../../clock/clock.js";

/** How old the newest confirmation of the tables is. It counts from when this entry asked, not from the answer. */
export class TableFreshness {
    private confirmedAt = -Infinity;

    /**
     * @param clock - monotonic time
     * @param maxAgeMs - age at which the tables are no longer fresh
     */
    constructor(private readonly clock: Clock, private readonly maxAgeMs: number) {}

    /**
     * Notes that the tables were current at some time after this entry asked.
     * @param askedAt - when it asked, monotonic milliseconds
     */
    recordConfirmation(askedAt: number): void {
        this.confirmedAt = Math.max(this.confirmedAt, askedAt);
    }

    /**
     * Reads the age of the newest confirmation.
     * @returns milliseconds; infinite before the first
     */
    readAge(): number {
        return this.clock.readMonotonic() - this.confirmedAt;
    }

    /**
     * Tells whether keys may be checked against the tables.
     * @returns true while they are fresh
     */
    isFresh(): boolean {
        return this.readAge() < this.maxAgeMs;
    }
}
