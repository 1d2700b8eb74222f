import { Clock } from "./clock.js";

/** The clocks and timers of the operating system. */
export class SystemClock extends Clock {
    override readMonotonic(): number {
        return performance.now();
    }

    override readWall(): number {
        return Date.now();
    }

    override schedule(delayMs: number, callback: () => void): () => void {
        const timer = setTimeout(callback, delayMs);
        return () => clearTimeout(timer);
    }
}
