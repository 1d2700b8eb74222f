/** A team's use of a pool's slots, over all entries. */
export interface SlotTimeUsage {
    /** Virtual time as in weighted fair queueing: slot time divided by the share, milliseconds. */
    virtualMs: number;
    /** Slot time, milliseconds. */
    usedMs: number;
    /** When the team last had running or waiting requests, monotonic milliseconds. */
    lastActiveAt: number;
}
