import type { Clock } from "../../clock/clock.js";

const msPerSecond = 1_000;

/**
 * Limits the probes of targets that show no sign of life, over all targets of the leader: a token bucket. The loss of a
 * whole availability zone must not take the processor time that the load of the other zones needs.
 */
export class ProbeBudget {
    private tokens: number;
    private filledAt: number;

    /**
     * @param perSecond - probes a second, also the number that may be sent at once
     * @param clock - monotonic clock
     */
    constructor(private readonly perSecond: number, private readonly clock: Clock) {
        this.tokens = perSecond;
        this.filledAt = clock.readMonotonic();
    }

    /**
     * Takes one probe out of the budget.
     * @returns false when it is spent; the probe must then not be sent
     */
    takeProbe(): boolean {
        const now = this.clock.readMonotonic();
        this.tokens = Math.min(this.perSecond, this.tokens + (now - this.filledAt) / msPerSecond * this.perSecond);
        this.filledAt = now;
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}
