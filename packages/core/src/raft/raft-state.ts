import type { HardState } from "./hard-state.js";
import type { LogEntry } from "./log-entry.js";
import type { Members } from "./members.js";
import type { PeerProgress } from "./peer-progress.js";
import type { RaftMessage } from "./raft-message.js";
import type { RaftRole } from "./raft-role.js";
import type { RaftTiming } from "./raft-timing.js";
import type { Snapshot } from "./snapshot.js";

/** Raft state of one keeper. Times are milliseconds of its monotonic clock. */
export interface RaftState {
    readonly id: string;
    readonly timing: RaftTiming;
    /** Returns random numbers from 0 to below 1, for election timeouts. */
    readonly random: () => number;

    hard: HardState;
    role: RaftRole;
    /** Id of the leader of the current term, if known. */
    leader: string | undefined;
    members: Members;
    /** Index of the entry that set the members; 0 when they come from the snapshot. */
    membersIndex: number;

    snapshot: Snapshot;
    /** Index and term of the entry before the first one in `entries`; never beyond the index of the snapshot. */
    base: { readonly index: number; readonly term: number };
    entries: LogEntry[];
    commitIndex: number;
    appliedIndex: number;
    persistedIndex: number;

    electionDueAt: number;
    heartbeatDueAt: number;
    /** When the last append or snapshot chunk from a leader arrived; at first, when this keeper started. */
    lastLeaderContactAt: number;
    /** When this keeper became leader. */
    ledSince: number;
    /** Ids of the keepers that granted their vote in the current election. */
    votes: Set<string>;
    /** Replication progress of the other members by id; empty unless this keeper is the leader. */
    peers: Map<string, PeerProgress>;
    /** A snapshot that is being received; `undefined` for none. */
    incomingSnapshot: { index: number; data: string } | undefined;

    /** Outgoing messages; sent only once all state changes before them are durable. */
    outbox: RaftMessage[];
    /** First index whose entry is missing on disk or has to be overwritten there; `undefined` when all are durable. */
    firstUnpersistedIndex: number | undefined;
    isHardStateUnpersisted: boolean;
    isSnapshotUnpersisted: boolean;
}
