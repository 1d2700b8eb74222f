import type { LogEntry } from "./log-entry.js";
import type { RaftMessageKind } from "./raft-message-kind.js";

interface Envelope {
    /** Id of the sender. */
    readonly from: string;
    /** Id of the receiver. */
    readonly to: string;
    /**
     * Current term of the sender. In a pre-vote and in a reply that grants it, the term of the prospective election.
     */
    readonly term: number;
}

interface VoteRequest extends Envelope {
    readonly kind: RaftMessageKind.PreVote | RaftMessageKind.Vote;
    /** Index of the last log entry of the candidate. */
    readonly lastIndex: number;
    /** Term of that entry. */
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
    /** Index of the entry before `entries`, which the log of the receiver must contain. */
    readonly previousIndex: number;
    /** Term of that entry. */
    readonly previousTerm: number;
    /** Empty in a heartbeat. */
    readonly entries: readonly LogEntry[];
    /** Commit index of the leader. */
    readonly commitIndex: number;
    /** Send time by the leader's monotonic clock, milliseconds; returned in the reply to extend the leader lease. */
    readonly sentAt: number;
    /** Lease that the leader asks for, milliseconds; 0 or missing for the usual one. */
    readonly leaseMs?: number | undefined;
}

interface AppendReply extends Envelope {
    readonly kind: RaftMessageKind.AppendReply;
    readonly isAccepted: boolean;
    /**
     * If accepted, the last index at which the logs match. Otherwise the index from which the leader should send again;
     * 0 when the message was of an outdated term.
     */
    readonly index: number;
    /** Copied from the message that is acknowledged. */
    readonly sentAt: number;
    /** Lease that the sender grants, milliseconds; 0 or missing for the usual one, which is all that earlier releases grant. */
    readonly leaseMs?: number | undefined;
}

interface SnapshotChunk extends Envelope {
    readonly kind: RaftMessageKind.SnapshotChunk;
    readonly snapshotIndex: number;
    readonly snapshotTerm: number;
    /** JSON of the members at the snapshot index. */
    readonly members: string;
    /** Position of this chunk in the snapshot, in UTF-16 code units. */
    readonly offset: number;
    /** Begins and ends between characters, except in messages of earlier releases. */
    readonly data: string;
    readonly isLast: boolean;
    /** In the last chunk, CRC-32 of the whole snapshot as UTF-8; earlier releases send none. */
    readonly checksum: number | undefined;
    /** As in `Append`. */
    readonly sentAt: number;
}

interface SnapshotReply extends Envelope {
    readonly kind: RaftMessageKind.SnapshotReply;
    readonly snapshotIndex: number;
    /** UTF-16 code units received so far; 0 when the chunk was not needed or was of an outdated term. */
    readonly offset: number;
    /** Whether the follower has installed the snapshot or has already committed all entries that it replaces. */
    readonly isInstalled: boolean;
    /** Copied from the chunk that is acknowledged. */
    readonly sentAt: number;
}

/** Asks the successor in a leadership transfer to start its election at once. */
interface TimeoutNow extends Envelope {
    readonly kind: RaftMessageKind.TimeoutNow;
}

/** A message between keepers. */
export type RaftMessage = VoteRequest | VoteReply | Append | AppendReply | SnapshotChunk | SnapshotReply | TimeoutNow;
