/** An attempt's claim of an unrepeatable request. */
export interface Claim {
    readonly dispatchId: string;
    readonly attempt: string;
}
