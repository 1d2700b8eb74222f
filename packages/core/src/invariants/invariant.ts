/** The invariants that are checked at run time. */
export enum Invariant {
    OneLeaderPerTerm = "one-leader-per-term",
    /** A keeper never drops a committed log entry. */
    CommittedEntriesStay = "committed-entries-stay",
    /** The tables of an entry are never replaced by an older revision. */
    RevisionNeverDecreases = "revision-never-decreases",
    /** At most one keeper holds a valid leader lease at a time. */
    DecisionsNeedLease = "decisions-need-lease",
    /** The granted and the used part of a team's limit stay within that limit. */
    LimitNotExceeded = "limit-not-exceeded",
    /** The granted and the used slots of a target stay within its number of slots. */
    SlotsNotExceeded = "slots-not-exceeded",
    /** An unrepeatable request is dispatched only under a claim, and not again once it may have run. */
    OneDispatchForUnrepeatable = "one-dispatch-for-unrepeatable",
    /** A reboot wave does not drain a VM beyond the disruption budget of its pool. */
    BudgetKept = "budget-kept",
}
