import type { Clock } from "../../clock/clock.js";

/** Random delays on the clock of a simulation. */
export class RandomDelays {
    /**
     * @param clock - clock of the simulation
     * @param random - returns numbers from 0 to below 1
     */
    constructor(private readonly clock: Clock, private readonly random: () => number) {}

    /**
     * Picks a delay.
     * @param minMs - shortest delay, milliseconds
     * @param maxMs - longest delay, milliseconds
     * @returns milliseconds
     */
    pickDelay(minMs: number, maxMs: number): number {
        return minMs + this.random() * (maxMs - minMs);
    }

    /**
     * Waits for a time.
     * @param delayMs - milliseconds
     */
    waitDelay(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            this.clock.schedule(delayMs, resolve);
        });
    }
}
