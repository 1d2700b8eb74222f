import type { TargetAvailability } from "../admission/target-availability.js";

/** What the leader answers to an entry's report. */
export interface EntryAllowances {
    readonly sequence: number;
    /** Whether no allowance is about to move. */
    readonly isSettled: boolean;
    readonly teams: { readonly team: string; readonly allowed: number }[];
    readonly slots: {
        readonly vm: string;
        readonly incarnation: number;
        readonly address: string;
        readonly state: TargetAvailability;
        readonly allowed: number;
    }[];
    readonly shares: { readonly pool: string; readonly team: string; readonly virtualMs: number }[];
    /** Holders that were lost; entries say what their targets still run for them. */
    readonly lostHolders: string[];
    /** Leaving targets of this entry to which nobody sends work any more. */
    readonly releasedTargets: string[];
}
