import { createTargetHealth } from "@daisylock/core/health/create-target-health.js";

import type { EntryState } from "../entry-state.js";
import type { AnnouncedTarget } from "./announced-target.js";

/**
 * Lets an announcement act at once on the slots that this entry has on the target, without waiting for the leader.
 * @param state - the entry
 * @param registration - the target's newest announcement
 */
export function applyAnnouncement(state: EntryState, registration: AnnouncedTarget): void {
    const target = state.admission.targets.get(registration.vm);
    if (target === undefined || registration.incarnation < target.incarnation) {
        return;
    }
    if (registration.incarnation > target.incarnation) {
        target.health = createTargetHealth();
    }
    target.incarnation = registration.incarnation;
    target.address = registration.address;
    target.state = registration.state;
}
