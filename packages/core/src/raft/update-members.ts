import { LogEntryKind } from "./log-entry-kind.js";
import type { Members } from "./members.js";
import type { RaftState } from "./raft-state.js";

/**
 * Sets the members from the newest entry that names them, or from the snapshot.
 * @param state - the keeper
 */
export function updateMembers(state: RaftState): void {
    const entry = state.entries.findLast(candidate => candidate.kind === LogEntryKind.Members);
    state.members = entry === undefined ? state.snapshot.members : JSON.parse(entry.payload) as Members;
    state.membersIndex = entry?.index ?? 0;
}
