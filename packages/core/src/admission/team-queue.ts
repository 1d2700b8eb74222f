import type { WaitingRequest } from "./waiting-request.js";

/** A team's waiting requests for one pool and its slot time there. */
export interface TeamQueue {
    readonly team: string;
    readonly urgent: WaitingRequest[];
    readonly normal: WaitingRequest[];
    /** Number of waiting requests; the arrays also contain removed ones. */
    waiting: number;
    /** Number of running requests. */
    running: number;
    /** Slot time over all entries divided by the share, as last sent by the leader, milliseconds. */
    globalVirtualMs: number;
    /** Slot time that this entry has charged since then, divided by the share, milliseconds. */
    localVirtualMs: number;
    /** Slot time of this entry that the leader has not acknowledged yet, milliseconds. */
    unreportedMs: number;
}
