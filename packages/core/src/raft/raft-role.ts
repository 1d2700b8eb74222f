/** The part a keeper plays in the replicated log. */
export enum RaftRole {
    Follower = "follower",
    PreCandidate = "pre-candidate",
    Candidate = "candidate",
    Leader = "leader",
}
