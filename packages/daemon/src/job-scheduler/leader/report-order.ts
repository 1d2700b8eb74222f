/** Order of a heartbeat relative to an earlier one of the same target incarnation. */
export enum ReportOrder {
    Outdated = "outdated",
    /** Newer by its number. */
    Newest = "newest",
    /** Newer by the clock that the target's answers state, whatever the numbers say. */
    NewestByClock = "newest-by-clock",
}
