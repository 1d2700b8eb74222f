import type { EntryDemand } from "./entry-demand.js";

/** The leader's record of an entry. */
export interface EntryView {
    readonly entry: string;
    /** Name under which the entry holds grants, see buildHolderName. */
    readonly holder: string;
    readonly zone: string;
    /** Revision of the tables that the entry has applied. */
    revision: number;
    /** Number of the last report. */
    reportNumber: number;
    /** When the last report arrived, monotonic milliseconds of the leader. */
    lastReportAt: number;
    /** When the demand peaks were last updated, monotonic milliseconds. */
    lastDemandAt: number;
    isLeaving: boolean;
    /** Demand by pool. */
    readonly poolDemand: Map<string, EntryDemand>;
    /** Demand by team. */
    readonly teamDemand: Map<string, EntryDemand>;
    /** Units of the upper limit in use, by team. */
    readonly teamUse: Map<string, number>;
}
