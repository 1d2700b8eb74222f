/** Why a change of members is refused. */
export enum MemberChangeFault {
    NotLeader = "not-leader",
    ChangePending = "change-pending",
    TooManyVoters = "too-many-voters",
    NoVoters = "no-voters",
    LearnerBehind = "learner-behind",
}
