import { LogEntryKind } from "./log-entry-kind.js";
import type { Members } from "./members.js";
import type { RaftState } from "./raft-state.js";

/**
 * Sets the members from the newest members entry of the log, or from the snapshot when the log has none.
 * @param state - Raft state of the keeper
 */
export function updateMembers(state: RaftState): void {
    const entry = state.entries.findLast(candidate => candidate.kind === LogEntryKind.Members);
    state.members = entry === undefined ? state.snapshot.members : JSON.parse(entry.payload) as Members;
    state.membersIndex = entry?.index ?? 0;
    state.leaseSpan = undefined;
}
