import type { TargetAvailability } from "../admission/target-availability.js";

/** What an entry reports to the leader. */
export interface EntryReport {
    readonly entry: string;
    /** New at every start of the entry. */
    readonly incarnation: string;
    readonly zone: string;
    /** Revision of the tables that the entry has. */
    readonly revision: number;
    /** Newest allowance sequence that the entry has applied. */
    readonly seenSequence: number;
    /** Whether the report names everything rather than what changed. */
    readonly isFull: boolean;
    readonly isLeaving: boolean;
    /** Rises with each report; a resent report has the same number. */
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
    readonly residues: readonly { readonly holder: string; readonly team: string; readonly running: number }[];
    readonly residueAgeMs: number;
    readonly residueTargets: readonly string[];
}
