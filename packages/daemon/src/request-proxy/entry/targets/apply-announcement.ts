import { createTargetHealth } from "@daisylock/core/health/create-target-health.js";

import type { EntryState } from "../entry-state.js";
import type { AnnouncedTarget } from "./announced-target.js";

/**
 * Applies an announcement to the slots that this entry has on the target, without waiting for the next sync with the
 * leader.
 * @param state - state of the entry
 * @param announced - the target's newest announcement
 */
export function applyAnnouncement(state: EntryState, announced: AnnouncedTarget): void {
    const target = state.admission.targets.get(announced.vm);
    if (target === undefined || announced.incarnation < target.incarnation) {
        return;
    }
    if (announced.incarnation > target.incarnation) {
        target.health = createTargetHealth();
    }
    target.incarnation = announced.incarnation;
    target.address = announced.address;
    target.state = announced.state;
}
