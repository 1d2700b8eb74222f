/** Span over which growth and peaks are measured, milliseconds: several arrivals, but short against a burst. */
const trendWindowMs = 800;

interface DemandSample {
    readonly at: number;
    readonly demand: number;
}

/** Demand of a pool beyond the moment, thousandths of a core. */
interface DemandForecast {
    /** What it will be if it goes on growing as it did; never below the newest sample. */
    readonly expected: number;
    /** The highest of the last moments. */
    readonly peak: number;
}

/** Follows the demand of one pool, so that VMs are called when a burst begins and not when it has filled the pool. */
export class DemandTrend {
    private samples: DemandSample[] = [];

    /**
     * Adds a sample.
     * @param at - monotonic milliseconds
     * @param demand - what is in use and what waits, thousandths of a core
     * @param aheadMs - how far to look ahead, milliseconds
     * @returns the outlook
     */
    addSample(at: number, demand: number, aheadMs: number): DemandForecast {
        this.samples = [...this.samples.filter(sample => at - sample.at <= trendWindowMs), { at, demand }];
        const oldest = this.samples[0];
        const growth = oldest === undefined || oldest.at === at ? 0 : (demand - oldest.demand) / trendWindowMs;
        return {
            expected: demand + Math.max(0, growth) * aheadMs,
            peak: Math.max(...this.samples.map(sample => sample.demand)),
        };
    }
}
