import { addProposal } from "./add-proposal.js";
import { LogEntryKind } from "./log-entry-kind.js";
import { MemberChangeFault } from "./member-change-fault.js";
import type { Members } from "./members.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";

/** Largest number of entries by which a learner may lag behind and still be promoted to voter. */
const maxLearnerLag = 16;

/**
 * Proposes a change of members. At most one voter may be added or removed at a time, and only a learner that has caught
 * up with the log may become a voter.
 * @param state - Raft state of the leader
 * @param next - the new members
 * @param now - monotonic milliseconds
 * @returns index of the entry, or why the change is refused
 */
export function setMembers(state: RaftState, next: Members, now: number): number | MemberChangeFault {
    if (state.role !== RaftRole.Leader) {
        return MemberChangeFault.NotLeader;
    }
    if (state.membersIndex > state.commitIndex) {
        return MemberChangeFault.ChangePending;
    }
    const added = Object.keys(next.voters).filter(id => !Object.hasOwn(state.members.voters, id));
    const removed = Object.keys(state.members.voters).filter(id => !Object.hasOwn(next.voters, id));
    if (added.length + removed.length > 1) {
        return MemberChangeFault.TooManyVoters;
    }
    if (Object.keys(next.voters).length === 0) {
        return MemberChangeFault.NoVoters;
    }
    if (added.some(id => !isCaughtUp(state, id))) {
        return MemberChangeFault.LearnerBehind;
    }
    return addProposal(state, LogEntryKind.Members, JSON.stringify(next), now) ?? MemberChangeFault.NotLeader;
}

function isCaughtUp(state: RaftState, id: string): boolean {
    const matchIndex = state.peers.get(id)?.matchIndex ?? 0;
    return matchIndex > 0 && matchIndex + maxLearnerLag >= state.commitIndex;
}
