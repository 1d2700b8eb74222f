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
    /** Revision of the tables. */
    readonly revision?: number | undefined;
    /** Change id; for reboot waves, the wave id. */
    readonly change?: string | undefined;
    /** Details, which depend on the kind of the event. */
    readonly detail?: string | undefined;
}
