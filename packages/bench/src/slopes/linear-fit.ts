/** A cost that grows with a size, as measured. */
export interface LinearFit {
    readonly name: string;
    /** Unit of the cost. */
    readonly costUnit: string;
    /** What the size counts. */
    readonly sizeUnit: string;
    /** Sizes at which it was measured. */
    readonly sizes: readonly number[];
    readonly costs: readonly number[];
    /** Cost of one more. */
    readonly slope: number;
    /** Cost of none. */
    readonly intercept: number;
}
