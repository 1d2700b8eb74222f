import { appendEntry } from "./append-entry.js";
import type { LogEntryKind } from "./log-entry-kind.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { sendAppend } from "./send-append.js";

/**
 * Appends an entry to the log of the leader and sends it to every peer that may get another append.
 * @param state - Raft state of the keeper
 * @param kind - kind of the entry
 * @param payload - JSON of the command or members
 * @param now - monotonic milliseconds
 * @returns index of the entry; `undefined` when this keeper is not the leader
 */
export function addProposal(state: RaftState, kind: LogEntryKind, payload: string, now: number): number | undefined {
    if (state.role !== RaftRole.Leader) {
        return undefined;
    }
    const index = appendEntry(state, kind, payload);
    for (const [id, peer] of state.peers) {
        sendAppend(state, id, peer, now);
    }
    return index;
}
