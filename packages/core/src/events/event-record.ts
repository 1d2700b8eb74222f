import type { EventKind } from "./event-kind.js";
import type { HybridTimestamp } from "./hybrid-timestamp.js";

/** One event on the timeline of a cluster. */
export interface EventRecord {
    readonly time: HybridTimestamp;
    /** Name of the process that recorded the event. */
    readonly process: string;
    readonly zone: string;
    readonly kind: EventKind;
    /** Request id. */
    readonly request?: string | undefined;
    readonly vm?: string | undefined;
    readonly team?: string | undefined;
    readonly pool?: string | undefined;
    readonly revision?: number | undefined;
    /** Change id. */
    readonly change?: string | undefined;
    readonly detail?: string | undefined;
}
