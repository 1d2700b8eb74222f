import type { TargetSlots } from "./target-slots.js";
import type { WaitingRequest } from "./waiting-request.js";

/** A request that was started on a target. */
export interface Dispatch {
    readonly request: WaitingRequest;
    readonly target: TargetSlots;
    /** Start of the request, monotonic milliseconds. */
    readonly startedAt: number;
    /** Slot time charged to the team at the start, milliseconds; corrected when the request ends. */
    readonly chargedMs: number;
}
