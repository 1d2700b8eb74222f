import type { Clock } from "../clock/clock.js";

/** Spreads synchronous work over turns of the event loop, so that timers and messages are handled in between. */
export class EventLoopTurns {
    private isTaken = false;
    private readonly waiting: (() => void)[] = [];

    /**
     * @param clock - schedules the turns
     */
    constructor(private readonly clock: Clock) {}

    /**
     * Takes a turn of the event loop.
     * @returns resolved at once when none was taken in this turn, otherwise in a later turn, in the order of the calls
     */
    takeTurn(): Promise<void> {
        if (this.isTaken) {
            return new Promise(resolve => this.waiting.push(resolve));
        }
        this.isTaken = true;
        this.scheduleNext();
        return Promise.resolve();
    }

    private scheduleNext(): void {
        this.clock.schedule(0, () => {
            const resolve = this.waiting.shift();
            if (resolve === undefined) {
                this.isTaken = false;
                return;
            }
            this.scheduleNext();
            resolve();
        });
    }
}
