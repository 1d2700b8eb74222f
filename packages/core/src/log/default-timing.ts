import type { RaftTiming } from "./raft-timing.js";

/** Times for keepers about a millisecond apart on busy machines. */
export const defaultTiming: RaftTiming = { heartbeat: 250, electionMin: 1_200, electionMax: 2_000, lease: 950 };
