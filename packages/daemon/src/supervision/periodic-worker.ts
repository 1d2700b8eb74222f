import type { Clock } from "../clock/clock.js";
import { Mailbox } from "../concurrency/mailbox.js";
import { Worker } from "./worker.js";

/** A worker that does one thing again and again until it is stopped. */
export abstract class PeriodicWorker extends Worker {
    private readonly wakeups = new Mailbox<"tick">(1);
    private stopTimer: () => void = () => undefined;

    /**
     * @param clock - time between two rounds
     */
    constructor(protected readonly clock: Clock) {
        super();
    }

    override *run(): Generator<unknown, void, unknown> {
        this.wakeups.put("tick");
        try {
            while ((yield* this.wakeups.take()) !== undefined) {
                const delayMs = yield* this.tick();
                this.stopTimer();
                this.stopTimer = this.clock.schedule(delayMs, () => this.startRound());
            }
            yield* this.releaseResources();
        }
        finally {
            this.stopTimer();
        }
    }

    override stop(): void {
        this.wakeups.close();
    }

    /** Starts the next round now instead of at its time. */
    startRound(): void {
        this.wakeups.put("tick");
    }

    /**
     * Does one round.
     * @returns delay before the next round, milliseconds
     */
    protected abstract tick(): Generator<unknown, number, unknown>;

    /** Gives back what the worker holds, once it was asked to stop. */
    protected *releaseResources(): Generator<unknown, void, unknown> {
        // Most workers hold nothing.
    }
}
