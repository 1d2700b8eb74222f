import { isVoter } from "./is-voter.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftMessage } from "./raft-message.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { readLastIndex } from "./read-last-index.js";
import { readTerm } from "./read-term.js";
import { setElectionTimeout } from "./set-election-timeout.js";
import { setTerm } from "./set-term.js";
import { startFollowing } from "./start-following.js";

type VoteRequest = Extract<RaftMessage, { kind: RaftMessageKind.PreVote | RaftMessageKind.Vote }>;

/**
 * Replies to a vote or pre-vote request. Refuses while a leader may hold a lease that this keeper has acknowledged,
 * so that no other keeper is elected while that leader's lease is valid. A leadership transfer is exempt, as the leader
 * has released its lease.
 * @param state - Raft state of the keeper
 * @param message - the request
 * @param now - monotonic milliseconds
 */
export function handleVoteRequest(state: RaftState, message: VoteRequest, now: number): void {
    const isPreVote = message.kind === RaftMessageKind.PreVote;
    const isLeaseProtected = !message.isHandover && isLeaderActive(state, now);
    if (!isVoter(state, message.from) || isLeaseProtected) {
        sendReply(state, message, false);
        return;
    }
    if (!isPreVote && message.term > state.hard.term) {
        startFollowing(state, message.term, undefined, now);
    }
    const isGranted = message.term >= state.hard.term && isLogUpToDate(state, message)
        && (isPreVote || isVoteAvailable(state, message));
    if (isGranted && !isPreVote) {
        setTerm(state, message.term, message.from);
        setElectionTimeout(state, now);
    }
    sendReply(state, message, isGranted);
}

function isLeaderActive(state: RaftState, now: number): boolean {
    return state.role === RaftRole.Leader || now < state.votesFrom;
}

function isLogUpToDate(state: RaftState, message: VoteRequest): boolean {
    const lastIndex = readLastIndex(state);
    const lastTerm = readTerm(state, lastIndex) ?? 0;
    return message.lastTerm > lastTerm || (message.lastTerm === lastTerm && message.lastIndex >= lastIndex);
}

function isVoteAvailable(state: RaftState, message: VoteRequest): boolean {
    return message.term === state.hard.term
        && (state.hard.votedFor === undefined || state.hard.votedFor === message.from);
}

function sendReply(state: RaftState, message: VoteRequest, isGranted: boolean): void {
    state.outbox.push({
        kind: message.kind === RaftMessageKind.PreVote ? RaftMessageKind.PreVoteReply : RaftMessageKind.VoteReply,
        from: state.id,
        to: message.from,
        term: isGranted ? message.term : state.hard.term,
        isGranted,
    });
}
