import type { TargetSlots } from "./target-slots.js";
import type { WaitingRequest } from "./waiting-request.js";

/** A request that starts on a target now. */
export interface Dispatch {
    readonly request: WaitingRequest;
    readonly target: TargetSlots;
    readonly startedAt: number;
    /** Slot time charged in advance, milliseconds. */
    readonly chargedMs: number;
}
