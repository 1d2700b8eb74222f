/** Why a change of members is refused. */
export enum MemberChangeFault {
    NotLeader = "not-leader",
    /** An earlier change of members is not committed yet. */
    ChangePending = "change-pending",
    /** More than one voter would be added or removed at once. */
    TooManyVoters = "too-many-voters",
    /** No voter would be left. */
    NoVoters = "no-voters",
    /** The keeper to be promoted has not caught up with the log. */
    LearnerBehind = "learner-behind",
}
