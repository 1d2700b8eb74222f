import { isVoter } from "./is-voter.js";
import type { RaftState } from "./raft-state.js";

/**
 * Computes when the leader last asked a quorum that then answered.
 * @param state - the leader
 * @param now - monotonic milliseconds
 * @returns that time; -1 when no quorum has answered in this term
 */
export function computeLeaseStart(state: RaftState, now: number): number {
    const times = Object.keys(state.members.voters).map(id =>
        id === state.id ? now : state.peers.get(id)?.ackedSentAt ?? -1
    );
    if (!isVoter(state, state.id)) {
        return -1;
    }
    times.sort((a, b) => b - a);
    return times[Math.floor(times.length / 2)] ?? -1;
}
