/** Paths of the listener for other processes. */
export const peerPaths = { raft: "/raft", call: "/call/" } as const;
