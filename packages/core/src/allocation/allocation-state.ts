import type { Tables } from "../tables/tables.js";
import type { EntryView } from "./entry-view.js";
import type { LostHolder } from "./lost-holder.js";
import type { ResourceGrants } from "./resource-grants.js";
import type { SlotTimeUsage } from "./slot-time-usage.js";
import type { TargetRegistration } from "./target-registration.js";

/** The soft state of a leader; a new leader builds it again from the entries' reports. */
export interface AllocationState {
    /** Unique for each time that a keeper becomes leader. */
    readonly session: string;
    readonly startedAt: number;
    readonly tables: Tables;
    sequence: number;
    readonly entries: Map<string, EntryView>;
    readonly targets: Map<string, TargetRegistration>;
    readonly slots: Map<string, ResourceGrants>;
    readonly teams: Map<string, ResourceGrants>;
    readonly slotTimeUsage: Map<string, Map<string, SlotTimeUsage>>;
    readonly lostHolders: Map<string, LostHolder>;
    /** Latest changes of slots and targets, oldest first, so that answers need not look at every target. */
    readonly slotChanges: { readonly sequence: number; readonly vm: string }[];
    /** Pools in which requests wait; they are planned again from time to time. */
    readonly backloggedPools: Set<string>;
    /** When each pool was last planned, monotonic milliseconds. */
    readonly plannedAt: Map<string, number>;
    /** Pools and teams whose plan has to be made again. */
    readonly stalePools: Set<string>;
    readonly staleTeams: Set<string>;
    /** Targets that get no new work because maintenance takes them out. */
    readonly cordonedTargets: Set<string>;
    /** Targets on which a holder has not confirmed a lower allowance yet. */
    readonly unconfirmedTargets: Set<string>;
    /** Table revision for which the plans were made. */
    plannedRevision: number;
}
