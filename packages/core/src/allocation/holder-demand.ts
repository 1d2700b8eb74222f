/** A holder's demand for units of a resource. */
export interface HolderDemand {
    readonly holder: string;
    readonly wanted: number;
}
