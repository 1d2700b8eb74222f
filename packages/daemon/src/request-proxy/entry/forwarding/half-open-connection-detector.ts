import { UnknownOutcomeReason } from "@daisylock/core/outcomes/unknown-outcome-reason.js";

import type { Clock } from "../../../clock/clock.js";
import type { AnnouncedTarget } from "../targets/announced-target.js";
import type { TargetAttempt } from "./target-attempt.js";
import type { TargetConnections } from "./target-connections.js";

/** Age of an attempt from which on its target has to know of it, milliseconds. */
const minAttemptAgeMs = 2_500;
/** Announcements without the attempt after which its connection is taken for silent. */
const maxMissedReports = 2;

interface WatchedAttempt {
    readonly attempt: TargetAttempt;
    readonly address: string;
    readonly startedAt: number;
    missedReports: number;
}

/**
 * Finds connections that are open at this end only: the target does not name the attempt among those that it runs, yet
 * no answer arrives.
 */
export class HalfOpenConnectionDetector {
    private readonly byVm = new Map<string, Map<string, WatchedAttempt>>();

    /**
     * @param connections - connections to give up
     * @param clock - monotonic time
     */
    constructor(private readonly connections: TargetConnections, private readonly clock: Clock) {}

    /**
     * Starts watching an attempt.
     * @param vm - its target
     * @param address - address of the target
     * @param dispatchId - its name at the target
     * @param attempt - the attempt
     */
    add(vm: string, address: string, dispatchId: string, attempt: TargetAttempt): void {
        let watched = this.byVm.get(vm);
        if (watched === undefined) {
            watched = new Map();
            this.byVm.set(vm, watched);
        }
        watched.set(dispatchId, { attempt, address, startedAt: this.clock.readMonotonic(), missedReports: 0 });
    }

    /**
     * Stops watching an attempt.
     * @param vm - its target
     * @param dispatchId - its name at the target
     */
    drop(vm: string, dispatchId: string): void {
        this.byVm.get(vm)?.delete(dispatchId);
    }

    /**
     * Compares what a target says with what is under way to it.
     * @param registration - the target's newest announcement
     */
    checkAnnouncement(registration: AnnouncedTarget): void {
        for (const [dispatchId, watched] of this.byVm.get(registration.vm) ?? []) {
            const isOld = registration.heardAt - watched.startedAt > minAttemptAgeMs;
            if (!isOld || watched.attempt.isResponding() || registration.running.has(dispatchId)) {
                watched.missedReports = 0;
                continue;
            }
            watched.missedReports += 1;
            if (watched.missedReports >= maxMissedReports) {
                this.connections.drop(watched.address);
                watched.attempt.settleFailure(UnknownOutcomeReason.ConnectionSilent, false);
            }
        }
    }
}
