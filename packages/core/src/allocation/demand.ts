/** How much of a resource one holder could use. */
export interface Demand {
    readonly holder: string;
    readonly wanted: number;
}
