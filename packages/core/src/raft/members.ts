/** The keepers of a cluster. A keeper's id is that of its disk. */
export interface Members {
    /** Address by id of those that count for a quorum. */
    readonly voters: Readonly<Record<string, string>>;
    /** Address by id of those that only receive the log. */
    readonly learners: Readonly<Record<string, string>>;
}
