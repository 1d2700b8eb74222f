import type { LogEntry } from "./log-entry.js";
import type { RaftMessageKind } from "./raft-message-kind.js";

interface Envelope {
    readonly from: string;
    readonly to: string;
    readonly term: number;
}

interface VoteRequest extends Envelope {
    readonly kind: RaftMessageKind.PreVote | RaftMessageKind.Vote;
    readonly lastIndex: number;
    readonly lastTerm: number;
    /** Whether the election is part of a leadership transfer, in which the leader has released its lease. */
    readonly isHandover: boolean;
}

interface VoteReply extends Envelope {
    readonly kind: RaftMessageKind.PreVoteReply | RaftMessageKind.VoteReply;
    readonly isGranted: boolean;
}

interface Append extends Envelope {
    readonly kind: RaftMessageKind.Append;
    readonly previousIndex: number;
    readonly previousTerm: number;
    readonly entries: readonly LogEntry[];
    readonly commitIndex: number;
    /** Send time by the leader's monotonic clock, milliseconds; returned in the reply to extend the leader lease. */
    readonly sentAt: number;
}

interface AppendReply extends Envelope {
    readonly kind: RaftMessageKind.AppendReply;
    readonly isAccepted: boolean;
    /** Last matching index if accepted; otherwise a hint for the next index to send. */
    readonly index: number;
    readonly sentAt: number;
}

interface SnapshotChunk extends Envelope {
    readonly kind: RaftMessageKind.SnapshotChunk;
    readonly snapshotIndex: number;
    readonly snapshotTerm: number;
    /** JSON of the members at the snapshot index. */
    readonly members: string;
    /** Position of this chunk in the snapshot, in characters. */
    readonly offset: number;
    readonly data: string;
    readonly isLast: boolean;
    readonly sentAt: number;
}

interface SnapshotReply extends Envelope {
    readonly kind: RaftMessageKind.SnapshotReply;
    readonly snapshotIndex: number;
    /** Characters received so far. */
    readonly offset: number;
    readonly isInstalled: boolean;
    readonly sentAt: number;
}

interface TimeoutNow extends Envelope {
    readonly kind: RaftMessageKind.TimeoutNow;
}

/** A message between keepers. */
export type RaftMessage = VoteRequest | VoteReply | Append | AppendReply | SnapshotChunk | SnapshotReply | TimeoutNow;
