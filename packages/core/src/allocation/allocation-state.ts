import type { Tables } from "../tables/tables.js";
import type { EntryView } from "./entry-view.js";
import type { LostHolder } from "./lost-holder.js";
import type { ResourceGrants } from "./resource-grants.js";
import type { SlotTimeUsage } from "./slot-time-usage.js";
import type { TargetRegistration } from "./target-registration.js";

/** The allocation state of a leader. It is not persisted; a new leader rebuilds it from the entries' reports. */
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
    /** Use of slot time, by pool and team. */
    readonly slotTimeUsage: Map<string, Map<string, SlotTimeUsage>>;
    /** Terminated holders whose requests may still run, by holder name. */
    readonly lostHolders: Map<string, LostHolder>;
    /** Recent changes of slots and targets, oldest first, so that a reply does not have to scan every target. */
    readonly slotChanges: { readonly sequence: number; readonly vm: string }[];
    /** Pools with waiting requests; each is marked as stale at most once per `minReplanIntervalMs`. */
    readonly backloggedPools: Set<string>;
    /** Time of the last plan by pool, monotonic milliseconds. */
    readonly plannedAt: Map<string, number>;
    /** Pools that have to be replanned. */
    readonly stalePools: Set<string>;
    /** Teams that have to be replanned. */
    readonly staleTeams: Set<string>;
    /** VMs of targets that get no new requests because the VM is in maintenance. */
    readonly cordonedTargets: Set<string>;
    /** VMs of targets on which some holder has not confirmed a decreased allowance yet. */
    readonly unconfirmedTargets: Set<string>;
    /** Table revision that the plans are based on; -1 forces all plans to be rebuilt. */
    plannedRevision: number;
}
