import type { Clock } from "../clock/clock.js";
import { Mailbox } from "../concurrency/mailbox.js";
import { Worker } from "./worker.js";

/** A worker that repeats a task until it is stopped. Each round determines the delay before the next one. */
export abstract class PeriodicWorker extends Worker {
    private readonly wakeups = new Mailbox<"tick">(1);
    private stopTimer: () => void = () => undefined;

    /**
     * @param clock - schedules the rounds
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

    /** Starts the next round without its delay: at once, or directly after a round that is still running. */
    startRound(): void {
        this.wakeups.put("tick");
    }

    /**
     * Runs one round.
     * @returns delay before the next round, milliseconds
     */
    protected abstract tick(): Generator<unknown, number, unknown>;

    /** Releases the resources of the worker after it was stopped. It is not called if a round throws an error. */
    protected *releaseResources(): Generator<unknown, void, unknown> {
        // By default there is nothing to release.
    }
}
