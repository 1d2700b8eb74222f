import { handleAppendReply } from "./handle-append-reply.js";
import { handleAppend } from "./handle-append.js";
import { handleSnapshotChunk } from "./handle-snapshot-chunk.js";
import { handleSnapshotReply } from "./handle-snapshot-reply.js";
import { handleTimeoutNow } from "./handle-timeout-now.js";
import { handleVoteReply } from "./handle-vote-reply.js";
import { handleVoteRequest } from "./handle-vote-request.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftMessage } from "./raft-message.js";
import type { RaftState } from "./raft-state.js";
import { startFollowing } from "./start-following.js";

const handlers = {
    [RaftMessageKind.PreVote]: handleVoteRequest,
    [RaftMessageKind.Vote]: handleVoteRequest,
    [RaftMessageKind.PreVoteReply]: handleVoteReply,
    [RaftMessageKind.VoteReply]: handleVoteReply,
    [RaftMessageKind.Append]: handleAppend,
    [RaftMessageKind.AppendReply]: handleAppendReply,
    [RaftMessageKind.SnapshotChunk]: handleSnapshotChunk,
    [RaftMessageKind.SnapshotReply]: handleSnapshotReply,
    [RaftMessageKind.TimeoutNow]: handleTimeoutNow,
};

/**
 * Kinds whose term does not advance the receiver's term before they are handled: a pre-vote carries a prospective term,
 * and a vote request may be refused.
 */
const termNeutralKinds = new Set([RaftMessageKind.PreVote, RaftMessageKind.PreVoteReply, RaftMessageKind.Vote]);

/**
 * Handles a message from another keeper. Messages addressed to a different id are ignored.
 * @param state - Raft state of the receiver
 * @param message - the message
 * @param now - monotonic milliseconds
 */
export function receiveRaftMessage(state: RaftState, message: RaftMessage, now: number): void {
    if (message.to !== state.id) {
        return;
    }
    if (message.term > state.hard.term && !termNeutralKinds.has(message.kind)) {
        startFollowing(state, message.term, undefined, now);
    }
    const handler = handlers[message.kind] as (state: RaftState, message: RaftMessage, now: number) => void;
    handler(state, message, now);
}
