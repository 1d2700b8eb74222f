import { BurstHistory } from "./burst-history.js";
import { DemandTrend } from "./demand-trend.js";
import { planMoves } from "./plan-moves.js";
import type { PoolForecast } from "./pool-forecast.js";
import type { PoolStatus } from "./pool-status.js";
import type { VmMove } from "./vm-move.js";

/** Plans moves of VMs round by round: what pools ask for now, how it grows, and whose turn may come next. */
export class VmMovePlanner {
    private readonly trends = new Map<string, DemandTrend>();
    private readonly bursts = new BurstHistory();

    /**
     * @param moveMs - time from the order of a move until the VM serves, milliseconds
     */
    constructor(private readonly moveMs: number) {}

    /**
     * Plans one round.
     * @param readings - all pools as they are now
     * @param now - monotonic milliseconds
     * @returns the moves
     */
    planRound(readings: readonly PoolStatus[], now: number): VmMove[] {
        const active = readings.filter(({ isSpare }) => !isSpare);
        for (const { name, used, wanted, usedLongRunning, homeCapacity } of active) {
            this.bursts.recordDemand(name, (used + wanted - usedLongRunning) / Math.max(1, homeCapacity), now);
        }
        const names = active.map(({ name }) => name);
        return planMoves(readings.map(reading => this.buildForecast(reading, names, now)));
    }

    private buildForecast(reading: PoolStatus, names: readonly string[], now: number): PoolForecast {
        const { name, isSpare, used, wanted, usedLongRunning, homeCapacity } = reading;
        const trend = this.trends.get(name) ?? new DemandTrend();
        this.trends.set(name, trend);
        const { expected, peak } = trend.addSample(now, used + wanted, this.moveMs);
        const reserve = isSpare
            ? 0
            : usedLongRunning + this.bursts.computeReserve(name, names, now) * homeCapacity;
        return { ...reading, expected, peak, reserve };
    }
}
