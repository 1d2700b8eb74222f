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

/** Kinds whose term is only asked about or refused, and so does not move the receiver's term. */
const termNeutralKinds = new Set([RaftMessageKind.PreVote, RaftMessageKind.PreVoteReply, RaftMessageKind.Vote]);

/**
 * Handles a message from another keeper.
 * @param state - the keeper
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
