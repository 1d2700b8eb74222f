interface DemandSample {
    /** Relative to the beginning of the burst, milliseconds; negative before it. */
    readonly offsetMs: number;
    /** Demand beyond long-running tasks as a share of the pool's own capacity. */
    readonly share: number;
}

/** Length of a burst that is recorded, milliseconds; the demand after it counts as none. */
const maxCurveMs = 60_000;

/** Demand of a pool during one burst and shortly before it. */
export class BurstCurve {
    private readonly samples: DemandSample[] = [];

    /**
     * Adds a sample, later than those before.
     * @param offsetMs - time since the beginning of the burst, milliseconds; negative before it
     * @param share - demand as a share of the pool's own capacity
     */
    addSample(offsetMs: number, share: number): void {
        if (offsetMs <= maxCurveMs) {
            this.samples.push({ offsetMs, share });
        }
    }

    /**
     * Reads the demand at a time.
     * @param offsetMs - time since the beginning of the burst, milliseconds
     * @returns the latest sample until then; 0 before the first and after the last sample
     */
    readShare(offsetMs: number): number {
        const last = this.samples.at(-1);
        if (last === undefined || offsetMs > last.offsetMs) {
            return 0;
        }
        let [low, high] = [0, this.samples.length];
        while (low < high) {
            const middle = Math.floor((low + high) / 2);
            if ((this.samples[middle]?.offsetMs ?? 0) <= offsetMs) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return this.samples[low - 1]?.share ?? 0;
    }

    /**
     * Computes the mean demand from the beginning of the burst until a time.
     * @param untilMs - time since the beginning of the burst, milliseconds
     * @returns share of the pool's own capacity; 0 without a sample in that time
     */
    computeMeanShare(untilMs: number): number {
        const samples = this.samples.filter(({ offsetMs }) => offsetMs >= 0 && offsetMs <= untilMs);
        return samples.reduce((sum, { share }) => sum + share, 0) / Math.max(1, samples.length);
    }
}
