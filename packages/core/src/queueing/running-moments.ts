/** Weight of one more value against those before it. */
const minSampleWeight = 0.08;

/** Mean and variance of a series, with the newest values weighing most. */
export class RunningMoments {
    private mean = 0;
    private variance = 0;
    private sampleCount = 0;

    /**
     * Adds a value.
     * @param value - the value
     */
    add(value: number): void {
        const share = Math.max(minSampleWeight, 1 / (this.sampleCount + 1));
        const delta = value - this.mean;
        this.mean += delta * share;
        this.variance = (1 - share) * (this.variance + share * delta * delta);
        this.sampleCount += 1;
    }

    /**
     * Counts the values.
     * @returns how many were added
     */
    count(): number {
        return this.sampleCount;
    }

    /**
     * Reads the mean.
     * @returns the mean; 0 before the first value
     */
    readMean(): number {
        return this.mean;
    }

    /**
     * Reads the variance.
     * @returns the variance; 0 before the second value
     */
    readVariance(): number {
        return this.variance;
    }
}
