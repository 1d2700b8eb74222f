/** Response to the announcement of a target. */
export interface AnnouncementResponse {
    /** Time until the next regular announcement, milliseconds. The target announces a change of state at once. */
    readonly announceMs: number;
    /** Lease of the target, milliseconds. It expires unless the target announces itself again within this time. */
    readonly leaseMs: number;
    /** Pool of the target according to the tables. */
    readonly pool: string;
    /** Whether no entry sends requests to the target any more, so that it may exit once its running requests end. */
    readonly isReleased: boolean;
}
