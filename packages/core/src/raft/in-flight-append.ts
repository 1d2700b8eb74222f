/** An append with entries that the peer has not answered yet, as tracked by the leader. */
export interface InFlightAppend {
    /** Index of the entry before the first one that was sent. */
    readonly previousIndex: number;
    /** Index of the last entry that was sent. */
    readonly lastIndex: number;
    /** Match index of the peer when the append was sent. */
    readonly knownMatchIndex: number;
    /** Send time, leader's monotonic milliseconds; the reply repeats it. */
    readonly sentAt: number;
}
