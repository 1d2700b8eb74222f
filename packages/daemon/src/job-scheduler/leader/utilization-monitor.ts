import { type EventLoopUtilization, performance } from "node:perf_hooks";

import type { Clock } from "../../clock/clock.js";

/** Time over which the utilization is measured, milliseconds. */
const intervalMs = 250;
/** Share of a new figure in one that falls; a rise counts at once. */
const fallingWeight = 0.3;

/** Tells for which share of the time the event loop of this process is busy. */
export class UtilizationMonitor {
    private utilization = 0;
    private measuredAt: number;
    private measured: EventLoopUtilization;

    /**
     * @param clock - monotonic clock
     * @param readLoop - reads the busy and the idle time of the event loop so far, or since another reading
     */
    constructor(
        private readonly clock: Pick<Clock, "readMonotonic">,
        private readonly readLoop: (since?: EventLoopUtilization) => EventLoopUtilization = since =>
            performance.eventLoopUtilization(since),
    ) {
        this.measuredAt = clock.readMonotonic();
        this.measured = readLoop();
    }

    /**
     * Reads the utilization, which rises at once and falls within about a second.
     * @returns share of the time, 0 to 1
     */
    readUtilization(): number {
        const now = this.clock.readMonotonic();
        if (now - this.measuredAt >= intervalMs) {
            const { utilization } = this.readLoop(this.measured);
            this.measured = this.readLoop();
            this.measuredAt = now;
            const fallen = this.utilization + fallingWeight * (utilization - this.utilization);
            this.utilization = Math.max(utilization, fallen);
        }
        return this.utilization;
    }
}
