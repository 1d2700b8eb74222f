import type { EntryDemand } from "./entry-demand.js";

/** What the leader knows of an entry. */
export interface EntryView {
    readonly entry: string;
    /** Entry and incarnation; the name under which it holds grants. */
    readonly holder: string;
    readonly zone: string;
    revision: number;
    reportNumber: number;
    /** Monotonic milliseconds of the leader. */
    lastReportAt: number;
    /** When the demand was last reported, monotonic milliseconds. */
    lastDemandAt: number;
    isLeaving: boolean;
    readonly poolDemand: Map<string, EntryDemand>;
    readonly teamDemand: Map<string, EntryDemand>;
    readonly teamUse: Map<string, number>;
}
