import { createTargetHealth } from "../health/create-target-health.js";
import type { AdmissionState } from "./admission-state.js";
import { findOrCreatePool } from "./find-or-create-pool.js";
import type { TargetSlots } from "./target-slots.js";

/** A target and the slots that the leader grants to the entry on it. */
type SlotAllowance = Pick<TargetSlots, "vm" | "pool" | "zone" | "incarnation" | "address" | "state" | "allowed">;

/**
 * Applies the leader's allowance for a target. A new incarnation of the target starts with a clean health record.
 * @param state - the entry's admission state
 * @param allowance - the target and the granted slots
 */
export function applySlotAllowance(state: AdmissionState, allowance: SlotAllowance): void {
    const existing = state.targets.get(allowance.vm);
    if (existing === undefined) {
        state.targets.set(allowance.vm, { ...allowance, inUse: 0, health: createTargetHealth() });
        findOrCreatePool(state, allowance.pool).targets.add(allowance.vm);
        return;
    }
    if (existing.pool !== allowance.pool) {
        state.pools.get(existing.pool)?.targets.delete(existing.vm);
        findOrCreatePool(state, allowance.pool).targets.add(existing.vm);
    }
    if (existing.incarnation !== allowance.incarnation) {
        existing.health = createTargetHealth();
    }
    Object.assign(existing, allowance);
}
