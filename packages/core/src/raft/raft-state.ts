import type { HardState } from "./hard-state.js";
import type { LogEntry } from "./log-entry.js";
import type { Members } from "./members.js";
import type { PeerProgress } from "./peer-progress.js";
import type { RaftMessage } from "./raft-message.js";
import type { RaftRole } from "./raft-role.js";
import type { RaftTiming } from "./raft-timing.js";
import type { Snapshot } from "./snapshot.js";

/** The state of one keeper's replicated log. Times are milliseconds of its monotonic clock. */
export interface RaftState {
    readonly id: string;
    readonly timing: RaftTiming;
    /** Random numbers from 0 to below 1, for election timeouts. */
    readonly random: () => number;

    hard: HardState;
    role: RaftRole;
    leader: string | undefined;
    members: Members;
    /** The entry that set the members; 0 when they come from the snapshot. */
    membersIndex: number;

    snapshot: Snapshot;
    /** The entry before the first one in `entries`; never after the snapshot. */
    base: { readonly index: number; readonly term: number };
    entries: LogEntry[];
    commitIndex: number;
    appliedIndex: number;
    persistedIndex: number;

    electionDueAt: number;
    heartbeatDueAt: number;
    lastLeaderContactAt: number;
    /** When this keeper became leader. */
    ledSince: number;
    votes: Set<string>;
    peers: Map<string, PeerProgress>;
    /** A snapshot that is being received. */
    incomingSnapshot: { index: number; data: string } | undefined;

    /** Messages to send once everything before them is on disk. */
    outbox: RaftMessage[];
    /** First index that is not on disk yet, or has to be replaced there. */
    firstUnpersistedIndex: number | undefined;
    isHardStateUnpersisted: boolean;
    isSnapshotUnpersisted: boolean;
}
