/** A terminated holder whose requests may still run on targets. */
export interface LostHolder {
    /** When the loss was detected, monotonic milliseconds of the leader. */
    readonly lostAt: number;
    /** Number of requests that targets still run for the holder, by reporting entry and team. */
    readonly runningByEntry: Map<string, Map<string, number>>;
    /** VMs of the targets whose reports have been counted since the loss. */
    readonly reportedTargets: Set<string>;
}
