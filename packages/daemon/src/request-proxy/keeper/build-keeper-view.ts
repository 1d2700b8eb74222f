import type { RaftState } from "@daisylock/core/raft/raft-state.js";
import { readLastIndex } from "@daisylock/core/raft/read-last-index.js";

import type { KeeperView } from "./keeper-view.js";

/**
 * Builds the view of a keeper that other components may read.
 * @param raft - Raft state of the keeper
 * @param now - monotonic milliseconds
 * @returns the view
 */
export function buildKeeperView(raft: RaftState, now: number): KeeperView {
    const addresses = { ...raft.members.learners, ...raft.members.voters };
    return {
        id: raft.id,
        role: raft.role,
        term: raft.hard.term,
        leader: raft.leader,
        leaderAddress: raft.leader === undefined ? undefined : addresses[raft.leader],
        members: raft.members,
        commitIndex: raft.commitIndex,
        lastIndex: readLastIndex(raft),
        silentMs: Object.fromEntries(
            [...raft.peers].map(([id, peer]) => [id, now - Math.max(peer.ackedSentAt, raft.ledSince)]),
        ),
        ledSince: raft.ledSince,
        matchIndexes: Object.fromEntries([...raft.peers].map(([id, peer]) => [id, peer.matchIndex])),
    };
}
