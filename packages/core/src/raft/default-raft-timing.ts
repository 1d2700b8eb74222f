import type { RaftTiming } from "./raft-timing.js";

/** Timing for keepers with a network latency of about 1 ms on busy machines. */
export const defaultRaftTiming: RaftTiming = {
    heartbeatIntervalMs: 250,
    minElectionTimeoutMs: 1_200,
    maxElectionTimeoutMs: 2_000,
    leaseMs: 950,
};
