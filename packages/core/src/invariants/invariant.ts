/** The invariants that are checked at run time. */
export enum Invariant {
    OneLeaderPerTerm = "one-leader-per-term",
    CommittedEntriesStay = "committed-entries-stay",
    RevisionNeverDecreases = "revision-never-decreases",
    DecisionsNeedLease = "decisions-need-lease",
    LimitNotExceeded = "limit-not-exceeded",
    SlotsNotExceeded = "slots-not-exceeded",
    OneDispatchForUnrepeatable = "one-dispatch-for-unrepeatable",
    BudgetKept = "budget-kept",
}
