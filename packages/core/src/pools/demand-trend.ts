/** Window for growth and peak, milliseconds: covers several job arrivals, but is short compared with a burst. */
const trendWindowMs = 800;

interface DemandSample {
    readonly at: number;
    readonly demand: number;
}

/** Forecast demand of a pool, thousandths of a core. */
interface DemandForecast {
    /** Linear extrapolation of the growth within the window; never below the newest sample. */
    readonly expected: number;
    /** Highest sample within the window. */
    readonly peak: number;
}

/** Forecasts the demand of one pool, so that VMs are requested when a burst begins and not once it fills the pool. */
export class DemandTrend {
    private samples: DemandSample[] = [];

    /**
     * Adds a sample.
     * @param at - monotonic milliseconds
     * @param demand - resources in use plus those of waiting tasks, thousandths of a core
     * @param horizonMs - how far ahead to forecast, milliseconds
     * @returns the forecast
     */
    addSample(at: number, demand: number, horizonMs: number): DemandForecast {
        this.samples = [...this.samples.filter(sample => at - sample.at <= trendWindowMs), { at, demand }];
        const oldest = this.samples[0];
        const growth = oldest === undefined || oldest.at === at ? 0 : (demand - oldest.demand) / trendWindowMs;
        return {
            expected: demand + Math.max(0, growth) * horizonMs,
            peak: Math.max(...this.samples.map(sample => sample.demand)),
        };
    }
}
