/** Metadata that every call between processes carries. */
export enum MetadataKey {
    /** Shared secret of the cluster. */
    Secret = "daisylock-secret",
    /** Hybrid time of the sender: milliseconds and counter. */
    Time = "daisylock-time",
}
