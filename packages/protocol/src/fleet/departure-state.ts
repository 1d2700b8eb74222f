/** Whether a keeper that is about to stop still votes. */
export enum DepartureState {
    /** It is no voter, so that it may stop. */
    Removed = "removed",
    /** Its successor is being promoted. */
    Pending = "pending",
    /** No learner could replace it; it stays a voter and may stop and come back with its disk. */
    NoSuccessor = "no-successor",
}
