import type { RaftTiming } from "./raft-timing.js";

/** Times for keepers about a millisecond apart on busy machines. */
export const defaultTiming: RaftTiming = { heartbeat: 150, electionMin: 1_000, electionMax: 1_800, lease: 800 };
