import type { RaftTiming } from "./raft-timing.js";

/** Times for keepers about a millisecond apart on busy machines. */
export const defaultRaftTiming: RaftTiming = {
    heartbeatIntervalMs: 250,
    minElectionTimeoutMs: 1_200,
    maxElectionTimeoutMs: 2_000,
    leaseMs: 950,
};
