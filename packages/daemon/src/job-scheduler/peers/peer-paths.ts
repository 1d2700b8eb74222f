/** URL paths that the peer server serves. */
export const peerPaths = {
    raft: "/raft",
    call: "/call/",
    relay: "/relay/",
    relayBatch: "/relay-batch",
    relayReplies: "/relay-replies",
} as const;
