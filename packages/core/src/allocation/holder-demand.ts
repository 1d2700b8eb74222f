/** How much of a resource one holder could use. */
export interface HolderDemand {
    readonly holder: string;
    readonly wanted: number;
}
