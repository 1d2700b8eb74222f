import { buildPromotion } from "./build-promotion.js";
import type { MemberChange } from "./member-change.js";
import type { Members } from "./members.js";

/** What a leader knows of the members. */
interface MembershipView {
    /** Id of the leader. */
    readonly leader: string;
    readonly members: Members;
    /** Number of voters that the cluster should have. */
    readonly voterCount: number;
    /** Milliseconds since the last request that each peer has acknowledged was sent. */
    readonly silentMs: Readonly<Record<string, number>>;
    /** Ids of the members that are about to stop. */
    readonly leaving: ReadonlySet<string>;
}

/** Time without contact after which a voter is replaced if a responsive learner is available, milliseconds. */
const deadVoterTimeoutMs = 2_000;
/** Time without contact after which a learner is not promoted, milliseconds; a few heartbeats. */
const silentLearnerTimeoutMs = 500;

/**
 * Plans the next change of members, at most one voter at a time. Without a responsive learner the number of voters does
 * not shrink, as a voter that is silent may come back with its disk. A voter that leaves is removed after its successor
 * was promoted: while it runs, the cluster bears the loss of any one of the four. A silent voter is removed first, as it
 * could not help to commit the promotion.
 * @param view - what the leader knows of the members
 * @returns the change, or `undefined` when none is due
 */
export function planMemberChange(view: MembershipView): MemberChange | undefined {
    const { leader, members, voterCount, leaving } = view;
    const voters = Object.keys(members.voters);
    const others = voters.filter(id => id !== leader);
    const isSilent = (id: string, timeoutMs: number): boolean => (view.silentMs[id] ?? 0) >= timeoutMs;
    const learner = Object.keys(members.learners)
        .find(id => !isSilent(id, silentLearnerTimeoutMs) && !leaving.has(id));
    const leavingVoter = others.find(id => leaving.has(id));
    const deadVoter = others.find(id => isSilent(id, deadVoterTimeoutMs));
    if (voters.length > voterCount) {
        return buildRemoval(members, leavingVoter ?? deadVoter);
    }
    if (learner === undefined) {
        return undefined;
    }
    return voters.length < voterCount || leavingVoter !== undefined
        ? { members: buildPromotion(members, learner), promoted: learner, removed: undefined }
        : buildRemoval(members, deadVoter);
}

function buildRemoval({ voters, learners }: Members, id: string | undefined): MemberChange | undefined {
    if (id === undefined) {
        return undefined;
    }
    const remaining = Object.fromEntries(Object.entries(voters).filter(([other]) => other !== id));
    return { members: { voters: remaining, learners }, promoted: undefined, removed: id };
}
