/** The kinds of message between keepers. */
export enum RaftMessageKind {
    PreVote = 0,
    PreVoteReply = 1,
    Vote = 2,
    VoteReply = 3,
    Append = 4,
    AppendReply = 5,
    SnapshotChunk = 6,
    SnapshotReply = 7,
    TimeoutNow = 8,
}
