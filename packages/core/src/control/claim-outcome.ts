/** Outcome of a claim of an unrepeatable request. */
export enum ClaimOutcome {
    /** This attempt has the exclusive right to dispatch the request. */
    Claimed = "claimed",
    /** Another attempt has claimed the request. */
    AlreadyClaimed = "already-claimed",
    /** The id was used for a request with a different fingerprint. */
    FingerprintDiffers = "fingerprint-differs",
    /** The maximum number of records is reached, and none of them has expired. */
    Full = "full",
}
