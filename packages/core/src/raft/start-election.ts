import { computeNextTerm } from "./compute-next-term.js";
import { isVoter } from "./is-voter.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { readLastIndex } from "./read-last-index.js";
import { readTerm } from "./read-term.js";
import { setElectionTimeout } from "./set-election-timeout.js";
import { setTerm } from "./set-term.js";
import { startLeading } from "./start-leading.js";

/**
 * Starts an election or a pre-vote, which asks the voters whether they would grant their vote. A keeper that is not a
 * voter only schedules its next attempt.
 * @param state - Raft state of the keeper
 * @param isPreVote - true for a pre-vote, which does not increment the term
 * @param now - monotonic milliseconds
 * @param isHandover - whether the election is part of a leadership transfer, in which the leader has released its lease
 */
export function startElection(state: RaftState, isPreVote: boolean, now: number, isHandover = false): void {
    setElectionTimeout(state, now);
    if (!isVoter(state, state.id)) {
        return;
    }
    state.leader = undefined;
    state.role = isPreVote ? RaftRole.PreCandidate : RaftRole.Candidate;
    state.votes = new Set([state.id]);
    if (!isPreVote) {
        setTerm(state, computeNextTerm(state.hard.term), state.id);
    }
    const voters = Object.keys(state.members.voters);
    if (voters.length === 1) {
        startSingleVoterElection(state, isPreVote, now);
        return;
    }
    const lastIndex = readLastIndex(state);
    for (const to of voters.filter(id => id !== state.id)) {
        state.outbox.push({
            kind: isPreVote ? RaftMessageKind.PreVote : RaftMessageKind.Vote,
            from: state.id,
            to,
            term: isPreVote ? computeNextTerm(state.hard.term) : state.hard.term,
            lastIndex,
            lastTerm: readTerm(state, lastIndex) ?? 0,
            isHandover,
        });
    }
}

function startSingleVoterElection(state: RaftState, isPreVote: boolean, now: number): void {
    if (isPreVote) {
        startElection(state, false, now);
        return;
    }
    startLeading(state, now);
}
