import type { Tables } from "../tables/tables.js";
import type { EntryView } from "./entry-view.js";
import type { LostHolder } from "./lost-holder.js";
import type { ResourceGrants } from "./resource-grants.js";
import type { SlotTimeUsage } from "./slot-time-usage.js";
import type { TargetRegistration } from "./target-registration.js";

/** The volatile allocation state of a leader. A new leader rebuilds it from the entries' reports. */
export interface AllocationState {
    /** Identifies one term of leadership; a keeper gets a new one each time it becomes leader. */
    readonly session: string;
    /** Start of the leadership, monotonic milliseconds. */
    readonly startedAt: number;
    readonly tables: Tables;
    /** Counts the changes of allowances and target registrations; entries acknowledge it in their reports. */
    sequence: number;
    /** Entries by name. */
    readonly entries: Map<string, EntryView>;
    /** Targets by VM. */
    readonly targets: Map<string, TargetRegistration>;
    /** Slot grants by VM. */
    readonly slots: Map<string, ResourceGrants>;
    /** Grants of the teams' upper limits by team. */
    readonly teams: Map<string, ResourceGrants>;
    /** Slot time used, by pool and team. */
    readonly slotTimeUsage: Map<string, Map<string, SlotTimeUsage>>;
    /** Terminated holders whose requests may still run, by holder name. */
    readonly lostHolders: Map<string, LostHolder>;
    /** Recent changes of slots and targets, oldest first, so that a reply does not have to scan every target. */
    readonly slotChanges: { readonly sequence: number; readonly vm: string }[];
    /** Pools with waiting requests; they are replanned at most every `minReplanIntervalMs`. */
    readonly backloggedPools: Set<string>;
    /** Time of the last plan by pool, monotonic milliseconds. */
    readonly plannedAt: Map<string, number>;
    /** Pools that have to be replanned. */
    readonly stalePools: Set<string>;
    /** Teams that have to be replanned. */
    readonly staleTeams: Set<string>;
    /** Targets that get no new work because their VM is in maintenance. */
    readonly cordonedTargets: Set<string>;
    /** Targets with a decreased allowance that its holder has not confirmed yet. */
    readonly unconfirmedTargets: Set<string>;
    /** Table revision that the plans are based on; -1 forces all plans to be rebuilt. */
    plannedRevision: number;
}
