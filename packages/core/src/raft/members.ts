/** The members of a cluster: its keepers, the replicas of the control plane. The id of a keeper is stored on its disk. */
export interface Members {
    /** Address by id of the keepers that count towards a quorum. */
    readonly voters: Readonly<Record<string, string>>;
    /** Address by id of the keepers that receive the log but have no vote. */
    readonly learners: Readonly<Record<string, string>>;
}
