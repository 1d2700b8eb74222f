import { appendEntry } from "./append-entry.js";
import type { LogEntryKind } from "./log-entry-kind.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { sendAppend } from "./send-append.js";

/**
 * Proposes an entry.
 * @param state - the keeper
 * @param kind - kind of the entry
 * @param payload - its content
 * @param now - monotonic milliseconds
 * @returns its index, or `undefined` when this keeper does not lead
 */
export function addProposal(state: RaftState, kind: LogEntryKind, payload: string, now: number): number | undefined {
    if (state.role !== RaftRole.Leader) {
        return undefined;
    }
    const index = appendEntry(state, kind, payload);
    for (const [id, peer] of state.peers) {
        if (!peer.isAppendInFlight) {
            sendAppend(state, id, peer, now);
        }
    }
    return index;
}
