/** A holder that has stopped for good while its requests may still run. */
export interface LostHolder {
    /** Monotonic milliseconds of the leader. */
    readonly lostAt: number;
    /** Requests that targets still run for it, by reporting entry and team. */
    readonly runningByEntry: Map<string, Map<string, number>>;
    /** Targets that have spoken since the loss. */
    readonly reportedTargets: Set<string>;
}
