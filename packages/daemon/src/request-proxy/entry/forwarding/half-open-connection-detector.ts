import { UnknownOutcomeReason } from "@daisylock/core/outcomes/unknown-outcome-reason.js";

import type { Clock } from "../../../clock/clock.js";
import type { AnnouncedTarget } from "../targets/announced-target.js";
import type { TargetAttempt } from "./target-attempt.js";
import type { TargetConnections } from "./target-connections.js";

/** Age from which an attempt must appear in the announcements of its target, milliseconds. */
const minAttemptAgeMs = 2_500;
/** Announcements in a row without the attempt after which its connection counts as half-open. */
const maxMissedReports = 2;

interface MonitoredAttempt {
    readonly attempt: TargetAttempt;
    readonly address: string;
    readonly startedAt: number;
    missedReports: number;
}

/**
 * Detects half-open connections, which are open at this end only: the target does not report the attempt among the
 * requests that it runs, yet no response arrives.
 */
export class HalfOpenConnectionDetector {
    private readonly byVm = new Map<string, Map<string, MonitoredAttempt>>();

    /**
     * @param connections - kept-alive connections; those to a target with a half-open connection are dropped
     * @param clock - monotonic time
     */
    constructor(private readonly connections: TargetConnections, private readonly clock: Clock) {}

    /**
     * Starts monitoring an attempt.
     * @param vm - VM of its target
     * @param address - address of the target
     * @param dispatchId - identifier of the attempt at the target
     * @param attempt - the attempt
     */
    add(vm: string, address: string, dispatchId: string, attempt: TargetAttempt): void {
        let attempts = this.byVm.get(vm);
        if (attempts === undefined) {
            attempts = new Map();
            this.byVm.set(vm, attempts);
        }
        attempts.set(dispatchId, { attempt, address, startedAt: this.clock.readMonotonic(), missedReports: 0 });
    }

    /**
     * Stops monitoring an attempt.
     * @param vm - VM of its target
     * @param dispatchId - identifier of the attempt at the target
     */
    drop(vm: string, dispatchId: string): void {
        this.byVm.get(vm)?.delete(dispatchId);
    }

    /**
     * Compares the requests that a target reports with the attempts in flight to it, and fails the attempts whose
     * connection is half-open.
     * @param announced - the target's newest announcement
     */
    checkAnnouncement(announced: AnnouncedTarget): void {
        for (const [dispatchId, monitored] of this.byVm.get(announced.vm) ?? []) {
            const isOld = announced.reportedAt - monitored.startedAt > minAttemptAgeMs;
            if (!isOld || monitored.attempt.isResponding() || announced.running.has(dispatchId)) {
                monitored.missedReports = 0;
                continue;
            }
            monitored.missedReports += 1;
            if (monitored.missedReports >= maxMissedReports) {
                this.connections.drop(monitored.address);
                monitored.attempt.settleFailure(UnknownOutcomeReason.ConnectionSilent, false);
            }
        }
    }
}
