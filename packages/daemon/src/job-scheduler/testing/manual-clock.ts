import { Clock } from "../../clock/clock.js";

interface Timer {
    readonly at: number;
    readonly callback: () => void;
}

/** Number of microtask rounds run before each timer, in which chains of settled promises complete. */
const microtaskRounds = 40;

/** A clock that only a test advances. */
export class ManualClock extends Clock {
    private now = 0;
    private wallJumpMs = 0;
    private timers: Timer[] = [];

    /**
     * @param macrotaskRounds - number of macrotask rounds run before each timer, which goroutines need to proceed
     * @param startedAtMs - wall clock at the start of the test, milliseconds
     */
    constructor(private readonly macrotaskRounds = 0, private readonly startedAtMs = 0) {
        super();
    }

    override readMonotonic(): number {
        return this.now;
    }

    override readWall(): number {
        return this.startedAtMs + this.now + this.wallJumpMs;
    }

    /**
     * Lets the wall clock jump; the monotonic one goes on.
     * @param ms - its lead over a clock that has not jumped, milliseconds
     */
    setWallJump(ms: number): void {
        this.wallJumpMs = ms;
    }

    override schedule(delayMs: number, callback: () => void): () => void {
        const timer = { at: this.now + delayMs, callback };
        this.timers.push(timer);
        return () => {
            this.timers = this.timers.filter(other => other !== timer);
        };
    }

    /**
     * Advances the time and runs all timers that become due, in order.
     * @param ms - time to advance by, milliseconds
     */
    async runFor(ms: number): Promise<void> {
        const end = this.now + ms;
        for (;;) {
            await this.settleTasks();
            const due = this.timers.filter(({ at }) => at <= end).sort((a, b) => a.at - b.at)[0];
            if (due === undefined) {
                break;
            }
            this.timers = this.timers.filter(timer => timer !== due);
            this.now = Math.max(this.now, due.at);
            due.callback();
        }
        this.now = end;
        await this.settleTasks();
    }

    /**
     * Advances the time without running timers, as when the process is busy or suspended.
     * @param ms - time to advance by, milliseconds
     */
    runLate(ms: number): void {
        this.now += ms;
    }

    private async settleTasks(): Promise<void> {
        await settlePromises();
        for (let round = 0; round < this.macrotaskRounds; round++) {
            await new Promise(resolve => setImmediate(resolve));
            await settlePromises();
        }
    }
}

async function settlePromises(): Promise<void> {
    for (let round = 0; round < microtaskRounds; round++) {
        await Promise.resolve();
    }
}
