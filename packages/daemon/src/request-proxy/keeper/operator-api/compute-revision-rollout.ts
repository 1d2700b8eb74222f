import type { AllocationState } from "@daisylock/core/allocation/allocation-state.js";

/** Where a revision is in force. */
interface RevisionRollout {
    readonly everywhere: boolean;
    readonly zones: Record<string, { readonly entries: number; readonly inForce: number }>;
    /** Entries that have not confirmed the revision. */
    readonly missing: string[];
}

/**
 * Reads where a revision of the tables is in force, as far as the entries have confirmed it.
 * @param leader - the leader's view
 * @param revision - the revision
 * @returns zones and missing entries
 */
export function computeRevisionRollout(leader: AllocationState, revision: number): RevisionRollout {
    const zones: Record<string, { entries: number; inForce: number }> = {};
    const missing: string[] = [];
    for (const view of leader.entries.values()) {
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
