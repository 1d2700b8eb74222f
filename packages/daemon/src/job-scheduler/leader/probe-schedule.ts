import type { ProbeBudget } from "./probe-budget.js";

/** Delay between the first probe that failed and the next one, milliseconds; it doubles with each further one. */
const minDelayMs = 120;
const maxDelayMs = 2_000;

/**
 * Decides when a target that does not respond is probed again: soon after it has sent a heartbeat, otherwise ever more
 * rarely and within the budget of all targets.
 */
export class ProbeSchedule {
    private delayMs = minDelayMs;
    /** Monotonic milliseconds. */
    private failedAt = Number.NEGATIVE_INFINITY;

    /**
     * @param budget - budget of all targets for probes without a sign of life
     */
    constructor(private readonly budget: Pick<ProbeBudget, "takeProbe">) {}

    /**
     * Tells whether the next probe is due, and takes it out of the budget.
     * @param now - monotonic milliseconds
     * @param heardAt - when the last heartbeat of the target came, monotonic milliseconds
     * @returns whether a probe is to be sent now
     */
    takeProbe(now: number, heardAt: number): boolean {
        if (heardAt > this.failedAt) {
            return now - this.failedAt >= minDelayMs;
        }
        return now - this.failedAt >= this.delayMs && this.budget.takeProbe();
    }

    /**
     * Records a probe without a response.
     * @param now - monotonic milliseconds
     */
    noteFailure(now: number): void {
        this.delayMs = Number.isFinite(this.failedAt) ? Math.min(maxDelayMs, 2 * this.delayMs) : minDelayMs;
        this.failedAt = now;
    }

    /** Records that the target responds. */
    noteResponse(): void {
        this.delayMs = minDelayMs;
        this.failedAt = Number.NEGATIVE_INFINITY;
    }
}
