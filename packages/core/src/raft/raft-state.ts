import type { HardState } from "./hard-state.js";
import type { LeaseSpan } from "./lease-span.js";
import type { LogEntry } from "./log-entry.js";
import type { Members } from "./members.js";
import type { PeerProgress } from "./peer-progress.js";
import type { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftMessage } from "./raft-message.js";
import type { RaftRole } from "./raft-role.js";
import type { RaftTiming } from "./raft-timing.js";
import type { SnapshotContent } from "./snapshot-content.js";
import type { Snapshot } from "./snapshot.js";

/** Raft state of one keeper. Times are milliseconds of its monotonic clock. */
export interface RaftState {
    /** Id of this keeper. */
    readonly id: string;
    readonly timing: RaftTiming;
    /** Returns random numbers from 0 to below 1, for election timeouts. */
    readonly random: () => number;

    /** Current term, and the vote in it. */
    hard: HardState;
    role: RaftRole;
    /** Id of the leader of the current term; `undefined` while unknown. */
    leader: string | undefined;
    members: Members;
    /** Index of the entry that set the members; 0 when they come from the snapshot. */
    membersIndex: number;

    snapshot: Snapshot;
    /** Index and term of the entry before the first one in `entries`; never beyond the index of the snapshot. */
    base: { readonly index: number; readonly term: number };
    /** Log entries after `base`, in order and without gaps. */
    entries: LogEntry[];
    /** Highest index known to be committed. */
    commitIndex: number;
    /** Highest index whose entry was taken to be applied; never above `commitIndex`. */
    appliedIndex: number;
    /** Highest index up to which the log is durable on this keeper. */
    persistedIndex: number;

    /** When this keeper starts an election if it is not the leader; postponed by leader contact or a granted vote. */
    electionDueAt: number;
    /** When this keeper, as the leader, sends the next heartbeat. */
    heartbeatDueAt: number;
    /**
     * Until when this keeper votes for no other than the leader that it last heard from, and starts no election, as it has
     * acknowledged the leader's lease.
     */
    votesFrom: number;
    /** Start and end of the leader lease; `undefined` until they are read after a reply or a change of members. */
    leaseSpan: LeaseSpan | undefined;
    /** Until when this keeper, as the leader, asks for a longer lease, as replies come slowly. */
    slowUntil: number;
    /** When this keeper last became leader; 0 if never. */
    ledSince: number;
    /** Ids of the voters, including this keeper, that granted their vote in the current election or pre-vote. */
    votes: Set<string>;
    /** Replication progress of the other members by id; empty unless this keeper is the leader. */
    peers: Map<string, PeerProgress>;
    /** Index and leader's term of the snapshot that is being received, and its data so far; `undefined` for none. */
    incomingSnapshot: { index: number; term: number; data: SnapshotContent } | undefined;
    /** Number of snapshots that were complete and did not match their checksum. */
    damagedSnapshotCount: number;

    /** Term in which this keeper last accepted an append, so that its log is a prefix of the leader's; 0 for none. */
    matchedTerm: number;
    /** Appends of the current term that arrived before the entries that they follow. */
    heldAppends: Extract<RaftMessage, { kind: RaftMessageKind.Append }>[];

    /** Outgoing messages; sent only once all state changes before them are durable. */
    outbox: RaftMessage[];
    /** First index whose entry is missing on disk or has to be overwritten there; `undefined` when all are durable. */
    firstUnpersistedIndex: number | undefined;
    /** Whether `hard` has changes that are not durable yet. */
    isHardStateUnpersisted: boolean;
    /** Whether `snapshot` is not durable yet; it is then saved together with the hard state and all entries. */
    isSnapshotUnpersisted: boolean;
}
