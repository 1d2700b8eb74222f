/** Minimum weight of a new value; once it applies, older values decay exponentially. */
const minSampleWeight = 0.08;

/** Exponentially weighted mean and variance of a series; the first values are weighted equally. */
export class RunningMoments {
    private mean = 0;
    private variance = 0;
    private sampleCount = 0;

    /**
     * Adds a value.
     * @param value - the value
     */
    add(value: number): void {
        const weight = Math.max(minSampleWeight, 1 / (this.sampleCount + 1));
        const delta = value - this.mean;
        this.mean += delta * weight;
        this.variance = (1 - weight) * (this.variance + weight * delta * delta);
        this.sampleCount += 1;
    }

    /**
     * Reads the number of values.
     * @returns the number of values added
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
