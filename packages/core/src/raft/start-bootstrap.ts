import { computeNextTerm } from "./compute-next-term.js";
import { LogEntryKind } from "./log-entry-kind.js";
import type { Members } from "./members.js";
import type { RaftState } from "./raft-state.js";
import { readLastIndex } from "./read-last-index.js";
import { setTerm } from "./set-term.js";
import { startLeading } from "./start-leading.js";
import { updateMembers } from "./update-members.js";

/**
 * Bootstraps a new cluster, in which this keeper is the only voter. The disk of the keeper must be empty.
 * @param state - Raft state of the keeper
 * @param address - its own peer address
 * @param now - monotonic milliseconds
 * @returns false when the keeper already belongs to a cluster
 */
export function startBootstrap(state: RaftState, address: string, now: number): boolean {
    if (readLastIndex(state) > 0 || Object.keys(state.members.voters).length > 0) {
        return false;
    }
    const members: Members = { voters: { [state.id]: address }, learners: {} };
    setTerm(state, computeNextTerm(state.hard.term), state.id);
    state.entries.push({
        index: 1,
        term: state.hard.term,
        kind: LogEntryKind.Members,
        payload: JSON.stringify(members),
    });
    state.firstUnpersistedIndex = 1;
    updateMembers(state);
    startLeading(state, now);
    return true;
}
