/** Answer to a target's announcement. */
export interface AnnouncementReply {
    /** Time until the target should announce itself next, milliseconds; sooner when its state changes. */
    readonly announceMs: number;
    /** Time within which the target has to announce itself again, milliseconds. */
    readonly leaseMs: number;
    /** Pool to which the target belongs by the tables. */
    readonly pool: string;
    /** Whether no entry sends it new work any more, so that it may stop once its work has ended. */
    readonly isReleased: boolean;
}
