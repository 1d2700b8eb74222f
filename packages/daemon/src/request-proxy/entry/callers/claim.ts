/** Claim of an unrepeatable request: it grants one attempt the exclusive right to dispatch the request. */
export interface Claim {
    readonly dispatchId: string;
    readonly attempt: string;
}
