import { Clock } from "../../clock/clock.js";

interface Timer {
    readonly at: number;
    readonly callback: () => void;
}

/** Rounds in which promises that are already settled may run on. */
const microtaskRounds = 40;

/** A clock that a test moves. */
export class ManualClock extends Clock {
    private now = 0;
    private timers: Timer[] = [];

    override readMonotonic(): number {
        return this.now;
    }

    override readWall(): number {
        return this.now;
    }

    override schedule(delayMs: number, callback: () => void): () => void {
        const timer = { at: this.now + delayMs, callback };
        this.timers.push(timer);
        return () => {
            this.timers = this.timers.filter(other => other !== timer);
        };
    }

    /**
     * Lets time pass and everything run that becomes due.
     * @param ms - milliseconds
     */
    async runFor(ms: number): Promise<void> {
        const end = this.now + ms;
        for (;;) {
            await settlePromises();
            const due = this.timers.filter(({ at }) => at <= end).sort((a, b) => a.at - b.at)[0];
            if (due === undefined) {
                break;
            }
            this.timers = this.timers.filter(timer => timer !== due);
            this.now = Math.max(this.now, due.at);
            due.callback();
        }
        this.now = end;
        await settlePromises();
    }
}

async function settlePromises(): Promise<void> {
    for (let round = 0; round < microtaskRounds; round++) {
        await Promise.resolve();
    }
}
