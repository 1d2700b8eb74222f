import { computeNextTerm } from "./compute-next-term.js";
import { isVoter } from "./is-voter.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftMessage } from "./raft-message.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { startElection } from "./start-election.js";
import { startFollowing } from "./start-following.js";
import { startLeading } from "./start-leading.js";

type VoteReply = Extract<RaftMessage, { kind: RaftMessageKind.PreVoteReply | RaftMessageKind.VoteReply }>;

/**
 * Counts a vote or pre-vote. A majority of pre-votes starts the election, a majority of votes makes the keeper leader.
 * @param state - Raft state of the candidate
 * @param message - the reply of a voter
 * @param now - monotonic milliseconds
 */
export function handleVoteReply(state: RaftState, message: VoteReply, now: number): void {
    const isPreVote = message.kind === RaftMessageKind.PreVoteReply;
    if (!message.isGranted && message.term > state.hard.term) {
        startFollowing(state, message.term, undefined, now);
        return;
    }
    const expectedRole = isPreVote ? RaftRole.PreCandidate : RaftRole.Candidate;
    const expectedTerm = isPreVote ? computeNextTerm(state.hard.term) : state.hard.term;
    if (state.role !== expectedRole || message.term !== expectedTerm || !message.isGranted) {
        return;
    }
    if (!isVoter(state, message.from)) {
        return;
    }
    state.votes.add(message.from);
    if (state.votes.size * 2 <= Object.keys(state.members.voters).length) {
        return;
    }
    if (isPreVote) {
        startElection(state, false, now);
        return;
    }
    startLeading(state, now);
}
