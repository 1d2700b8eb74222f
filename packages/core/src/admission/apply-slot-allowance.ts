import { createTargetHealth } from "../health/create-target-health.js";
import type { AdmissionState } from "./admission-state.js";
import { findOrCreatePool } from "./find-or-create-pool.js";
import type { TargetSlots } from "./target-slots.js";

/** What an entry learns of a target and of its own slots there. */
type SlotAllowance = Pick<TargetSlots, "vm" | "pool" | "zone" | "incarnation" | "address" | "state" | "allowed">;

/**
 * Applies what the leader allows this entry on a target.
 * @param state - the entry
 * @param allowance - the target and the slots
 */
export function applySlotAllowance(state: AdmissionState, allowance: SlotAllowance): void {
    const known = state.targets.get(allowance.vm);
    if (known === undefined) {
        state.targets.set(allowance.vm, { ...allowance, inUse: 0, health: createTargetHealth() });
        findOrCreatePool(state, allowance.pool).targets.add(allowance.vm);
        return;
    }
    if (known.pool !== allowance.pool) {
        state.pools.get(known.pool)?.targets.delete(known.vm);
        findOrCreatePool(state, allowance.pool).targets.add(known.vm);
    }
    if (known.incarnation !== allowance.incarnation) {
        known.health = createTargetHealth();
    }
    Object.assign(known, allowance);
}
