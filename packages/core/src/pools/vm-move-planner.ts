import { ArrivalForecast } from "./arrival-forecast.js";
import { BurstHistory } from "./burst-history.js";
import { DemandTrend } from "./demand-trend.js";
import { planMoves } from "./plan-moves.js";
import type { PoolForecast } from "./pool-forecast.js";
import type { PoolStatus } from "./pool-status.js";
import { RecentPeak } from "./recent-peak.js";
import type { VmMove } from "./vm-move.js";

/** Time from the end of a move until tasks start on the VM: its target announces itself, and the next round follows. */
const serveDelayMs = 300;

/** Time for which a pool keeps the VMs that a forecast needs, milliseconds; it varies from round to round. */
const expectedPeakWindowMs = 1_100;
/** Factor on the forecast growth: a VM too few makes jobs late, a VM too many returns after a few seconds. */
const growthMargin = 1.5;

/** Plans moves of VMs between pools from the demand of each pool, its growth, and which pool may burst next. */
export class VmMovePlanner {
    private readonly trends = new Map<string, { readonly all: DemandTrend; readonly onTime: DemandTrend }>();
    private readonly expectedPeaks = new Map<string, RecentPeak>();
    private readonly arrivals = new Map<string, ArrivalForecast>();
    private readonly bursts = new BurstHistory();
    private forecasts: readonly PoolForecast[] = [];
    /** Time from the plan of a move until the VM serves, milliseconds. */
    private readonly horizonMs: number;

    /**
     * @param moveMs - time that a move takes, milliseconds
     */
    constructor(moveMs: number) {
        this.horizonMs = moveMs + serveDelayMs;
    }

    /**
     * Records the demand of each pool without a plan, as a process does that may have to plan later.
     * @param statuses - current state of all pools
     * @param now - monotonic milliseconds
     */
    recordDemands(statuses: readonly PoolStatus[], now: number): void {
        for (const { name, isSpare, used, wanted, usedLongRunning, homeCapacity, arrivals } of statuses) {
            if (!isSpare) {
                this.findOrCreateArrivals(name).addArrivals(arrivals, now);
                const share = (used + wanted - usedLongRunning) / Math.max(1, homeCapacity);
                this.bursts.recordDemand(name, share, now);
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
        const trend = trends.all.addSample(now, used + wanted, this.horizonMs);
        const onTimeTrend = trends.onTime.addSample(now, used + wanted - wantedLate, this.horizonMs);
        const fromArrivals = usedLongRunning
            + this.findOrCreateArrivals(name).computeDemand(now, this.horizonMs, used + wanted - usedLongRunning);
        const fromBursts = usedLongRunning
            + this.bursts.computeExpectedShare(name, now + this.horizonMs, now) * homeCapacity;
        const expected = Math.max(addMargin(used + wanted, Math.max(trend.expected, fromArrivals)), fromBursts);
        const onTime = addMargin(
            used + wanted - wantedLate,
            Math.max(onTimeTrend.expected, fromArrivals - wantedLate),
        );
        const reserve = isSpare
            ? 0
            : usedLongRunning + this.bursts.computeReserve(name, names, now) * homeCapacity;
        return {
            ...status,
            expected,
            expectedOnTime: Math.max(onTime, fromBursts - wantedLate),
            expectedPeak: this.computeExpectedPeak(name, expected, now),
            peak: trend.peak,
            reserve,
        };
    }

    private computeExpectedPeak(pool: string, expected: number, now: number): number {
        const peaks = this.expectedPeaks.get(pool) ?? new RecentPeak(expectedPeakWindowMs);
        this.expectedPeaks.set(pool, peaks);
        return peaks.addSample(now, expected);
    }

    private findOrCreateArrivals(pool: string): ArrivalForecast {
        const arrivals = this.arrivals.get(pool) ?? new ArrivalForecast();
        this.arrivals.set(pool, arrivals);
        return arrivals;
    }
}

/** Raises a forecast by its possible error, which is larger the more the demand is about to change. */
function addMargin(current: number, forecast: number): number {
    return current + Math.max(0, forecast - current) * growthMargin;
}
