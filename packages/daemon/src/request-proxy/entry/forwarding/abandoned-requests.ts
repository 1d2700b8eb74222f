import type { Dispatch } from "@daisylock/core/admission/dispatch.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";

import type { Clock } from "../../../clock/clock.js";
import type { EventLog } from "../../../events/event-log.js";
import type { AdmissionController } from "../admission/admission-controller.js";

/**
 * Delay after the abandonment before a report without the request proves that it does not run, milliseconds. A request
 * that was in flight to the target has arrived by then.
 */
const inFlightMarginMs = 1_500;

interface AbandonedRequest {
    readonly dispatch: Dispatch;
    readonly dispatchId: string;
    readonly incarnation: number;
    /** Time of the abandonment, monotonic milliseconds. */
    readonly since: number;
}

/** Report of a target on the requests that it runs. */
interface RunningRequestsReport {
    readonly vm: string;
    readonly incarnation: number;
    /** Time of the report, monotonic milliseconds. */
    readonly reportedAt: number;
    readonly running: { has(dispatchId: string): boolean };
}

/** Abandoned requests that their targets may still run. They count as running until their target reports otherwise. */
export class AbandonedRequests {
    private readonly byVm = new Map<string, AbandonedRequest[]>();

    /**
     * @param admissionController - releases the slots of requests that no longer run
     * @param clock - monotonic time
     * @param events - log for releases
     */
    constructor(
        private readonly admissionController: AdmissionController,
        private readonly clock: Clock,
        private readonly events: EventLog,
    ) {}

    /**
     * Adds an abandoned request.
     * @param dispatch - the request
     * @param dispatchId - identifier of the attempt, which the target reports while it runs the request
     * @param incarnation - incarnation of the target to which the request was sent
     */
    add(dispatch: Dispatch, dispatchId: string, incarnation: number): void {
        const { vm } = dispatch.target;
        const requests = this.byVm.get(vm) ?? [];
        requests.push({ dispatch, dispatchId, incarnation, since: this.clock.readMonotonic() });
        this.byVm.set(vm, requests);
    }

    /**
     * Releases the requests that a target no longer runs.
     * @param report - report of the target
     */
    handleReport(report: RunningRequestsReport): void {
        const requests = this.byVm.get(report.vm);
        if (requests === undefined) {
            return;
        }
        const kept = requests.filter(request => !this.isFinished(request, report));
        this.updateRequests(report.vm, requests, kept);
    }

    /**
     * Releases all requests of a VM that no longer exists.
     * @param vm - the VM
     */
    dropTarget(vm: string): void {
        this.updateRequests(vm, this.byVm.get(vm) ?? [], []);
    }

    /**
     * Lists the VMs that may still run abandoned requests.
     * @returns their names
     */
    listTargets(): string[] {
        return [...this.byVm.keys()];
    }

    /**
     * Counts the abandoned requests that may still run.
     * @returns their number
     */
    count(): number {
        let sum = 0;
        for (const requests of this.byVm.values()) {
            sum += requests.length;
        }
        return sum;
    }

    private isFinished(request: AbandonedRequest, report: RunningRequestsReport): boolean {
        if (report.incarnation > request.incarnation) {
            return true;
        }
        return report.incarnation === request.incarnation && report.reportedAt > request.since + inFlightMarginMs
            && !report.running.has(request.dispatchId);
    }

    private updateRequests(vm: string, before: readonly AbandonedRequest[], after: AbandonedRequest[]): void {
        if (after.length > 0) {
            this.byVm.set(vm, after);
        }
        else {
            this.byVm.delete(vm);
        }
        for (const request of before) {
            if (!after.includes(request)) {
                this.admissionController.release(request.dispatch);
                this.events.record(EventKind.AbandonedReleased, { vm, detail: request.dispatchId });
            }
        }
    }
}
