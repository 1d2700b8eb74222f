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
    readonly targets: readonly {
        readonly vm: string;
        readonly incarnation: number;
        readonly address: string;
        readonly state: TargetAvailability;
        readonly slots: number;
    }[];
    readonly demands: readonly {
        readonly pool: string;
        readonly team: string;
        readonly running: number;
        readonly waiting: number;
        readonly usedMs: number;
    }[];
    readonly teams: readonly { readonly team: string; readonly inUse: number }[];
    readonly slots: readonly { readonly vm: string; readonly inUse: number }[];
    /** Requests that targets still run for lost holders. */
    readonly residues: readonly { readonly holder: string; readonly team: string; readonly running: number }[];
    /** Age of the oldest target report behind the residues, milliseconds. */
    readonly residueAgeMs: number;
    /** VMs of the targets that the residues cover. */
    readonly residueTargets: readonly string[];
}
