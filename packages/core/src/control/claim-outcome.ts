/** What a claim of an unrepeatable request led to. */
export enum ClaimOutcome {
    /** This attempt alone may dispatch the request. */
    Claimed = "claimed",
    /** Another attempt holds the request. */
    AlreadyClaimed = "already-claimed",
    /** The id was used for another request. */
    FingerprintDiffers = "fingerprint-differs",
    /** No room for another record within the retention time. */
    Full = "full",
}
