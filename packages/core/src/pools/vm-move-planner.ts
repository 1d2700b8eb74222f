import { BurstHistory } from "./burst-history.js";
import { DemandTrend } from "./demand-trend.js";
import { planMoves } from "./plan-moves.js";
import type { PoolForecast } from "./pool-forecast.js";
import type { PoolStatus } from "./pool-status.js";
import type { VmMove } from "./vm-move.js";

/** Plans moves of VMs between pools from the demand of each pool, its growth, and which pool may burst next. */
export class VmMovePlanner {
    private readonly trends = new Map<string, { readonly all: DemandTrend; readonly onTime: DemandTrend }>();
    private readonly bursts = new BurstHistory();
    private forecasts: readonly PoolForecast[] = [];

    /**
     * @param moveMs - time from the request for a move until the VM serves, milliseconds
     */
    constructor(private readonly moveMs: number) {}

    /**
     * Records the demand of each pool without a plan, as a process does that may have to plan later.
     * @param statuses - current state of all pools
     * @param now - monotonic milliseconds
     */
    recordDemands(statuses: readonly PoolStatus[], now: number): void {
        for (const { name, isSpare, used, wanted, usedLongRunning, homeCapacity } of statuses) {
            if (!isSpare) {
                this.bursts.recordDemand(name, (used + wanted - usedLongRunning) / Math.max(1, homeCapacity), now);
            }
        }
    }

    /**
     * Plans one round.
     * @param statuses - current state of all pools
     * @param now - monotonic milliseconds
     * @returns the moves
     */
    planRound(statuses: readonly PoolStatus[], now: number): VmMove[] {
        this.recordDemands(statuses, now);
        const names = statuses.filter(({ isSpare }) => !isSpare).map(({ name }) => name);
        this.forecasts = statuses.map(status => this.buildForecast(status, names, now));
        return planMoves(this.forecasts);
    }

    /**
     * Reads the forecasts on which the last round was planned.
     * @returns one forecast for each pool
     */
    readForecasts(): readonly PoolForecast[] {
        return this.forecasts;
    }

    private buildForecast(status: PoolStatus, names: readonly string[], now: number): PoolForecast {
        const { name, isSpare, used, wanted, wantedLate, usedLongRunning, homeCapacity } = status;
        const trends = this.trends.get(name) ?? { all: new DemandTrend(), onTime: new DemandTrend() };
        this.trends.set(name, trends);
        const { expected, peak } = trends.all.addSample(now, used + wanted, this.moveMs);
        const onTime = trends.onTime.addSample(now, used + wanted - wantedLate, this.moveMs);
        const reserve = isSpare
            ? 0
            : usedLongRunning + this.bursts.computeReserve(name, names, now) * homeCapacity;
        return { ...status, expected, expectedOnTime: onTime.expected, peak, reserve };
    }
}
