import { runGoroutine } from "../../concurrency/run-goroutine.js";
import type { Worker } from "../../supervision/worker.js";
import type { ManualClock } from "./manual-clock.js";

/** Step in which the time advances, milliseconds; shorter than the intervals of all workers. */
const stepMs = 10;
/** Turns of the event loop after each step, in which goroutines take up their messages. */
const turnsPerStep = 4;

/**
 * Starts a worker that runs on a manual clock.
 * @param worker - the worker
 * @param clock - its clock
 * @returns advances the time by milliseconds and lets the worker run meanwhile
 */
export function runWorker(worker: Worker, clock: ManualClock): (ms: number) => Promise<void> {
    runGoroutine(() => worker.run(), () => undefined);
    return async ms => {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += stepMs) {
            await clock.runFor(stepMs);
            for (let turn = 0; turn < turnsPerStep; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
        }
    };
}
