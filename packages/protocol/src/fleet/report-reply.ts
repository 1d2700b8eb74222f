/** Reply to a heartbeat of a target. */
export interface ReportReply {
    /** Whether the heartbeat is the newest of its target. */
    readonly isNewest: boolean;
    /** Whether the heartbeat must not count as acknowledged: it says that a known target drains, and is not believed yet. */
    readonly isRepeatNeeded?: boolean;
}
