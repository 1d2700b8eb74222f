import { Clock } from "../../clock/clock.js";

/** A clock whose timers are delayed until a given time, as those of a busy event loop are. */
export class HeldClock extends Clock {
    private heldUntil = 0;

    /**
     * @param clock - the clock that it follows
     */
    constructor(private readonly clock: Clock) {
        super();
    }

    override readMonotonic(): number {
        return this.clock.readMonotonic();
    }

    override readWall(): number {
        return this.clock.readWall();
    }

    override schedule(delayMs: number, callback: () => void): () => void {
        return this.clock.schedule(Math.max(delayMs, this.heldUntil - this.readMonotonic()), callback);
    }

    /**
     * Delays timers that are scheduled from now on.
     * @param forMs - time for which none of them runs, milliseconds
     */
    setHold(forMs: number): void {
        this.heldUntil = this.readMonotonic() + forMs;
    }

    /**
     * Tells whether timers are being delayed.
     * @returns true until the time has passed
     */
    isHeld(): boolean {
        return this.readMonotonic() < this.heldUntil;
    }
}
