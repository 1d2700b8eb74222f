import type { AllocationState } from "@daisylock/core/allocation/allocation-state.js";

/** Where a revision of the tables is applied. */
interface RevisionRollout {
    readonly everywhere: boolean;
    readonly zones: Record<string, { readonly entries: number; readonly inForce: number }>;
    /** Entries that have not confirmed the revision. */
    readonly missing: string[];
}

/**
 * Computes which entries have confirmed that they apply a revision of the tables, or a later one.
 * @param allocation - allocation state of the leader
 * @param revision - the revision
 * @returns counts by availability zone, and the entries that have not confirmed it
 */
export function computeRevisionRollout(allocation: AllocationState, revision: number): RevisionRollout {
    const zones: Record<string, { entries: number; inForce: number }> = {};
    const missing: string[] = [];
    for (const view of allocation.entries.values()) {
        const zone = zones[view.zone] ?? { entries: 0, inForce: 0 };
        zones[view.zone] = zone;
        zone.entries += 1;
        if (view.revision >= revision) {
            zone.inForce += 1;
        }
        else {
            missing.push(view.entry);
        }
    }
    return { everywhere: missing.length === 0, zones, missing };
}
