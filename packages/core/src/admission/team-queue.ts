import type { WaitingRequest } from "./waiting-request.js";

/** A team's waiting requests for one pool and its account of slot time. */
export interface TeamQueue {
    readonly team: string;
    readonly urgent: WaitingRequest[];
    readonly normal: WaitingRequest[];
    /** Requests that still wait; the arrays also hold settled ones. */
    waiting: number;
    running: number;
    /** Slot time over all entries divided by the share, as last told by the leader, milliseconds. */
    globalVirtualMs: number;
    /** The same for what this entry has charged since, milliseconds. */
    localVirtualMs: number;
    /** Slot time used and not yet acknowledged by the leader, milliseconds. */
    unreportedMs: number;
}
