/** The Raft role of a keeper. */
export enum RaftRole {
    Follower = "follower",
    PreCandidate = "pre-candidate",
    Candidate = "candidate",
    Leader = "leader",
}
