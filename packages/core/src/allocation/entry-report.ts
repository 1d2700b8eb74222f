import type { TargetAvailability } from "../admission/target-availability.js";

/** The report that an entry sends to the leader. */
export interface EntryReport {
    readonly entry: string;
    /** Identifies one start of the entry's process. */
    readonly incarnation: string;
    readonly zone: string;
    /** Revision of the tables that the entry has applied. */
    readonly revision: number;
    /** Highest sequence number of allowances that the entry has applied. */
    readonly seenSequence: number;
    /** Whether the report contains the complete state rather than the changes since the previous report. */
    readonly isFull: boolean;
    readonly isLeaving: boolean;
    /** Increases with each report; a resent report has the same number. */
    readonly reportNumber: number;
    /** Targets that announce themselves to the entry. */
    readonly targets: readonly {
        readonly vm: string;
        readonly incarnation: number;
        readonly address: string;
        readonly state: TargetAvailability;
        readonly slots: number;
    }[];
    /** Requests of each pool and team, with the slot time that the leader has not acknowledged yet. */
    readonly demands: readonly {
        readonly pool: string;
        readonly team: string;
        readonly running: number;
        readonly waiting: number;
        readonly usedMs: number;
    }[];
    /** Units of the upper limits in use; teams without any are omitted. */
    readonly teams: readonly { readonly team: string; readonly inUse: number }[];
    /**
     * Slots by target. A full report lists the slots that the entry uses or may use, whichever is more; other reports
     * list only targets with more slots in use than allowed.
     */
    readonly slots: readonly { readonly vm: string; readonly inUse: number }[];
    /** Number of requests that targets still run for lost holders. */
    readonly residues: readonly { readonly holder: string; readonly team: string; readonly running: number }[];
    /** Age of the oldest target report that the residues are based on, milliseconds. */
    readonly residueAgeMs: number;
    /** VMs of the targets that the residues cover. */
    readonly residueTargets: readonly string[];
}
