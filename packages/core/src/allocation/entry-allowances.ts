import type { TargetAvailability } from "../admission/target-availability.js";

/** The leader's reply to an entry's report: the allowances that changed since those that the entry has applied. */
export interface EntryAllowances {
    /** Sequence number up to which the reply contains every change. */
    readonly sequence: number;
    /** Whether all plans are up to date and all decreased slot allowances are confirmed. */
    readonly isSettled: boolean;
    /** Portions of the teams' upper limits that the entry may use, units. */
    readonly teams: { readonly team: string; readonly allowed: number }[];
    /** Targets and the number of slots that the entry may use on them. */
    readonly slots: {
        readonly vm: string;
        readonly incarnation: number;
        readonly address: string;
        readonly state: TargetAvailability;
        readonly allowed: number;
    }[];
    /** Virtual time of the teams in the report: slot time over all entries divided by the share, milliseconds. */
    readonly shares: { readonly pool: string; readonly team: string; readonly virtualMs: number }[];
    /** Names of terminated holders; the entry reports the requests that its targets still run for them. */
    readonly lostHolders: string[];
    /** VMs of leaving targets that are registered with this entry and on which no entry has slots any more. */
    readonly releasedTargets: string[];
}
