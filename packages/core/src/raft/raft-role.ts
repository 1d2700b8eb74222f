/** The Raft role of a keeper. */
export enum RaftRole {
    Follower = "follower",
    /** Asks the voters whether they would grant their vote, before it increments its term. */
    PreCandidate = "pre-candidate",
    Candidate = "candidate",
    Leader = "leader",
}
