/** Keys of the gRPC metadata that every call between processes carries. */
export enum MetadataKey {
    /** Shared secret of the cluster. */
    Secret = "daisylock-secret",
    /** Hybrid timestamp of the sender: wall time in milliseconds and counter, joined by a dot. */
    Time = "daisylock-time",
}
