import type { Clock } from "../../clock/clock.js";

/**
 * Tracks the age of the newest confirmation that the tables are current. The age counts from when this entry sent the
 * request, not from the reply, as the tables may have changed on the leader before the reply arrived.
 */
export class TableFreshness {
    private confirmedAt = -Infinity;

    /**
     * @param clock - monotonic time
     * @param maxAgeMs - age at which the tables are no longer fresh
     */
    constructor(private readonly clock: Clock, private readonly maxAgeMs: number) {}

    /**
     * Records that the tables were current at some time after a request to the leader was sent.
     * @param requestedAt - when the request was sent, monotonic milliseconds
     */
    recordConfirmation(requestedAt: number): void {
        this.confirmedAt = Math.max(this.confirmedAt, requestedAt);
    }

    /**
     * Reads the age of the newest confirmation.
     * @returns age in milliseconds; infinite before the first confirmation
     */
    readAge(): number {
        return this.clock.readMonotonic() - this.confirmedAt;
    }

    /**
     * Tells whether the tables are recent enough to verify keys against them.
     * @returns true while the age is below the maximum
     */
    isFresh(): boolean {
        return this.readAge() < this.maxAgeMs;
    }
}
