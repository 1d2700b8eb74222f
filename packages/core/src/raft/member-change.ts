import type { Members } from "./members.js";

/** A change of members that a leader makes by itself. */
export interface MemberChange {
    readonly members: Members;
    /** Id of the learner that becomes a voter; `undefined` if a voter is removed. */
    readonly promoted: string | undefined;
    /** Id of the voter that is removed; `undefined` if a learner is promoted. */
    readonly removed: string | undefined;
}
