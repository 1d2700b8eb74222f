import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { setElectionTimeout } from "./set-election-timeout.js";
import { setTerm } from "./set-term.js";

/**
 * Becomes a follower.
 * @param state - Raft state of the keeper
 * @param term - the term; a higher one clears the vote
 * @param leader - id of the leader of that term; `undefined` when unknown
 * @param now - monotonic milliseconds
 */
export function startFollowing(state: RaftState, term: number, leader: string | undefined, now: number): void {
    if (term > state.hard.term) {
        setTerm(state, term, undefined);
    }
    state.role = RaftRole.Follower;
    state.leader = leader;
    state.peers.clear();
    state.leaseSpan = undefined;
    setElectionTimeout(state, now);
}
