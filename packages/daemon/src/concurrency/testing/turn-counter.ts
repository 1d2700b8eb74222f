/** Counts turns of the event loop. */
export class TurnCounter {
    private turns = 0;
    private isStopped = false;

    constructor() {
        this.scheduleCount();
    }

    /**
     * Reads the number of turns.
     * @returns turns that have begun since this counter was created
     */
    readTurns(): number {
        return this.turns;
    }

    /** Stops counting; until then, the counter keeps the event loop busy. */
    stop(): void {
        this.isStopped = true;
    }

    private scheduleCount(): void {
        setImmediate(() => {
            this.turns += 1;
            if (!this.isStopped) {
                this.scheduleCount();
            }
        });
    }
}
