/** A team's use of a pool over all entries. */
export interface SlotTimeUsage {
    /** Slot time divided by the share, milliseconds. */
    virtualMs: number;
    /** Slot time, milliseconds. */
    usedMs: number;
    activeAt: number;
}
