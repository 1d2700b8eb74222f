/** Announcement of a target that it is leaving. */
export interface TargetLeave {
    readonly id: string;
    /** Incarnation that is leaving; `undefined` when the announcement does not say. */
    readonly incarnation: number | undefined;
}
