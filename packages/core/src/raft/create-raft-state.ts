import { computeVotesFrom } from "./compute-votes-from.js";
import type { HardState } from "./hard-state.js";
import type { LogEntry } from "./log-entry.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import type { RaftTiming } from "./raft-timing.js";
import { setElectionTimeout } from "./set-election-timeout.js";
import type { Snapshot } from "./snapshot.js";
import { updateMembers } from "./update-members.js";

/** The persisted state of a keeper and its dependencies. */
interface RaftStateOptions {
    /** Id of the keeper. */
    readonly id: string;
    readonly timing: RaftTiming;
    /** Returns random numbers from 0 to below 1, for election timeouts. */
    readonly random: () => number;
    /** Monotonic milliseconds. */
    readonly now: number;
    readonly hard: HardState;
    readonly snapshot: Snapshot;
    /** Index and term of the entry before the first one in `entries`. */
    readonly base: RaftState["base"];
    readonly entries: LogEntry[];
}

/**
 * Creates the Raft state of a keeper from its persisted state.
 * @param options - persisted state and dependencies
 * @returns the state of a follower
 */
export function createRaftState(options: RaftStateOptions): RaftState {
    const lastIndex = options.base.index + options.entries.length;
    const state: RaftState = {
        id: options.id,
        timing: options.timing,
        random: options.random,
        hard: options.hard,
        role: RaftRole.Follower,
        leader: undefined,
        members: options.snapshot.members,
        membersIndex: 0,
        snapshot: options.snapshot,
        base: options.base,
        entries: options.entries,
        commitIndex: options.snapshot.index,
        appliedIndex: options.snapshot.index,
        persistedIndex: lastIndex,
        electionDueAt: 0,
        heartbeatDueAt: 0,
        // The last contact with a leader is not persisted. Assuming one at the start, with the longest lease, protects a
        // leader lease that this keeper acknowledged before its restart.
        votesFrom: computeVotesFrom(options.timing, options.timing.maxLeaseMs, options.now),
        leaseSpan: undefined,
        slowUntil: -1,
        ledSince: 0,
        votes: new Set(),
        peers: new Map(),
        incomingSnapshot: undefined,
        damagedSnapshotCount: 0,
        matchedTerm: 0,
        heldAppends: [],
        outbox: [],
        firstUnpersistedIndex: undefined,
        isHardStateUnpersisted: false,
        isSnapshotUnpersisted: false,
    };
    updateMembers(state);
    setElectionTimeout(state, options.now);
    return state;
}
