/** Response to the announcement of a target. */
export interface AnnouncementResponse {
    /** Time until the next regular announcement, milliseconds. The target announces a change of state at once. */
    readonly announceMs: number;
    /** Lease of the target, milliseconds. It expires unless the target announces itself again before. */
    readonly leaseMs: number;
    /** Pool of the target according to the tables. */
    readonly pool: string;
    /** Whether all entries have stopped sending it requests, so that it may exit after its running ones have ended. */
    readonly isReleased: boolean;
}
