/** Keeps the highest value of a time window. */
export class RecentPeak {
    private samples: readonly { readonly at: number; readonly value: number }[] = [];

    /**
     * @param windowMs - length of the window, milliseconds
     */
    constructor(private readonly windowMs: number) {}

    /**
     * Adds a value.
     * @param at - monotonic milliseconds
     * @param value - the value
     * @returns the highest value of the window
     */
    addSample(at: number, value: number): number {
        // A value that is not above the new one can never be the highest again.
        const others = this.samples.filter(sample => at - sample.at <= this.windowMs && sample.value > value);
        this.samples = [...others, { at, value }];
        return this.samples[0]?.value ?? value;
    }
}
