import type { EventKind } from "./event-kind.js";
import type { HybridTimestamp } from "./hybrid-timestamp.js";

/** One event of the time line. */
export interface EventRecord {
    readonly time: HybridTimestamp;
    readonly process: string;
    readonly zone: string;
    readonly kind: EventKind;
    readonly request?: string | undefined;
    readonly vm?: string | undefined;
    readonly team?: string | undefined;
    readonly pool?: string | undefined;
    readonly revision?: number | undefined;
    readonly change?: string | undefined;
    readonly detail?: string | undefined;
}
