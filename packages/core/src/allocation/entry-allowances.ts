import type { TargetAvailability } from "../admission/target-availability.js";

/** The leader's reply to an entry's report. */
export interface EntryAllowances {
    /** Sequence number up to which the reply contains every change. */
    readonly sequence: number;
    /** Whether all plans are up to date and all decreased slot allowances are confirmed. */
    readonly isSettled: boolean;
    readonly teams: { readonly team: string; readonly allowed: number }[];
    readonly slots: {
        readonly vm: string;
        readonly incarnation: number;
        readonly address: string;
        readonly state: TargetAvailability;
        readonly allowed: number;
    }[];
    /** Slot time divided by the share, over all entries, milliseconds. */
    readonly shares: { readonly pool: string; readonly team: string; readonly virtualMs: number }[];
    /** Terminated holders; entries report what their targets still run for them. */
    readonly lostHolders: string[];
    /** Leaving targets registered with this entry that no entry sends requests to any more. */
    readonly releasedTargets: string[];
}
