import type { HardState } from "./hard-state.js";
import type { LogEntry } from "./log-entry.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import type { RaftTiming } from "./raft-timing.js";
import { setElectionTimeout } from "./set-election-timeout.js";
import type { Snapshot } from "./snapshot.js";
import { updateMembers } from "./update-members.js";

/** What a keeper found on its disk, and its surroundings. */
interface RaftStateOptions {
    readonly id: string;
    readonly timing: RaftTiming;
    readonly random: () => number;
    readonly now: number;
    readonly hard: HardState;
    readonly snapshot: Snapshot;
    readonly base: RaftState["base"];
    readonly entries: LogEntry[];
}

/**
 * Creates the state of a keeper from what its disk holds.
 * @param start - disk content and surroundings
 * @returns a follower
 */
export function createRaftState(start: RaftStateOptions): RaftState {
    const lastIndex = start.base.index + start.entries.length;
    const state: RaftState = {
        id: start.id,
        timing: start.timing,
        random: start.random,
        hard: start.hard,
        role: RaftRole.Follower,
        leader: undefined,
        members: start.snapshot.members,
        membersIndex: 0,
        snapshot: start.snapshot,
        base: start.base,
        entries: start.entries,
        commitIndex: start.snapshot.index,
        appliedIndex: start.snapshot.index,
        persistedIndex: lastIndex,
        electionDueAt: 0,
        heartbeatDueAt: 0,
        // A restart forgets whom this keeper heard, so it grants no vote for one election timeout.
        lastLeaderContactAt: start.now,
        ledSince: 0,
        votes: new Set(),
        peers: new Map(),
        incomingSnapshot: undefined,
        outbox: [],
        firstUnpersistedIndex: undefined,
        isHardStateUnpersisted: false,
        isSnapshotUnpersisted: false,
    };
    updateMembers(state);
    setElectionTimeout(state, start.now);
    return state;
}
