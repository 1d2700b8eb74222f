import { Clock } from "../../clock/clock.js";

interface Timer {
    readonly at: number;
    readonly callback: () => void;
}

/** Clock of a rehearsal, which only the rehearsal advances. */
export class RehearsalClock extends Clock {
    private now: number;
    private readonly wallOffsetMs: number;
    private readonly timers = new Set<Timer>();

    /**
     * @param base - clock from whose readings this one starts, so that its readings are like those of a real clock
     */
    constructor(base: Clock) {
        super();
        this.now = base.readMonotonic();
        this.wallOffsetMs = Math.floor(base.readWall() - this.now);
    }

    override readMonotonic(): number {
        return this.now;
    }

    override readWall(): number {
        return Math.floor(this.now) + this.wallOffsetMs;
    }

    override schedule(delayMs: number, callback: () => void): () => void {
        const timer = { at: this.now + delayMs, callback };
        this.timers.add(timer);
        return () => this.timers.delete(timer);
    }

    /**
     * Advances the time and runs the timers that become due.
     * @param ms - time to advance by, milliseconds
     */
    tick(ms: number): void {
        this.now += ms;
        const due = [...this.timers].filter(({ at }) => at <= this.now).sort((a, b) => a.at - b.at);
        for (const timer of due) {
            // A timer that was due together with it may have cancelled it.
            if (this.timers.delete(timer)) {
                timer.callback();
            }
        }
    }
}
