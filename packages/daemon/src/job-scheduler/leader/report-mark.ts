/** Place of a heartbeat among those of one target incarnation. */
export interface ReportMark {
    /** Number of the heartbeat, which increases within an incarnation. */
    readonly sequence: number;
    /** The target's clock in the heartbeat, milliseconds; `undefined` if it stated none. */
    readonly clockMs: number | undefined;
}
