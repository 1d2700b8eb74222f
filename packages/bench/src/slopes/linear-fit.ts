/** Linear fit of a measured cost that grows with a size. */
export interface LinearFit {
    readonly name: string;
    /** Unit of the cost. */
    readonly costUnit: string;
    /** What the size counts. */
    readonly sizeUnit: string;
    /** Sizes at which the cost was measured. */
    readonly sizes: readonly number[];
    /** Cost at each size. */
    readonly costs: readonly number[];
    /** Cost added by each unit of size. */
    readonly slope: number;
    /** Cost at size 0. */
    readonly intercept: number;
}
