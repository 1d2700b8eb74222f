import type { Dispatch } from "@daisylock/core/admission/dispatch.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";

import type { Clock } from "../../../clock/clock.js";
import type { EventLog } from "../../../events/event-log.js";
import type { AdmissionController } from "../admission/admission-controller.js";

/** Time after giving up at which a target's word counts: what was under way to it has arrived by then. */
const inFlightMarginMs = 1_500;

interface AbandonedRequest {
    readonly dispatch: Dispatch;
    readonly dispatchId: string;
    readonly incarnation: number;
    readonly since: number;
}

/** What a target says that it runs. */
interface RunningRequestsReport {
    readonly vm: string;
    readonly incarnation: number;
    readonly heardAt: number;
    readonly running: { has(dispatchId: string): boolean };
}

/** Requests that were given up while their targets may still run them; they count as running until a target denies it. */
export class AbandonedRequests {
    private readonly byVm = new Map<string, AbandonedRequest[]>();

    /**
     * @param admissionController - takes back what the requests held
     * @param clock - monotonic time
     * @param events - where releases are recorded
     */
    constructor(
        private readonly admissionController: AdmissionController,
        private readonly clock: Clock,
        private readonly events: EventLog,
    ) {}

    /**
     * Adds a request that was given up.
     * @param dispatch - the request
     * @param dispatchId - its name at the target
     * @param incarnation - the target's incarnation when it was sent
     */
    add(dispatch: Dispatch, dispatchId: string, incarnation: number): void {
        const { vm } = dispatch.target;
        const list = this.byVm.get(vm) ?? [];
        list.push({ dispatch, dispatchId, incarnation, since: this.clock.readMonotonic() });
        this.byVm.set(vm, list);
    }

    /**
     * Releases the requests that a target no longer runs.
     * @param word - what the target says
     */
    handleReport(word: RunningRequestsReport): void {
        const list = this.byVm.get(word.vm);
        if (list === undefined) {
            return;
        }
        const kept = list.filter(abandoned => !this.isFinished(abandoned, word));
        this.updateRequests(word.vm, list, kept);
    }

    /**
     * Releases the requests of a VM that is known to be gone.
     * @param vm - the VM
     */
    dropTarget(vm: string): void {
        this.updateRequests(vm, this.byVm.get(vm) ?? [], []);
    }

    /**
     * Lists the VMs that may still run given-up requests.
     * @returns their names
     */
    listTargets(): string[] {
        return [...this.byVm.keys()];
    }

    /**
     * Counts the given-up requests that may still run.
     * @returns their number
     */
    count(): number {
        let sum = 0;
        for (const list of this.byVm.values()) {
            sum += list.length;
        }
        return sum;
    }

    private isFinished(abandoned: AbandonedRequest, word: RunningRequestsReport): boolean {
        if (word.incarnation > abandoned.incarnation) {
            return true;
        }
        return word.incarnation === abandoned.incarnation && word.heardAt > abandoned.since + inFlightMarginMs
            && !word.running.has(abandoned.dispatchId);
    }

    private updateRequests(vm: string, before: readonly AbandonedRequest[], after: AbandonedRequest[]): void {
        if (after.length > 0) {
            this.byVm.set(vm, after);
        }
        else {
            this.byVm.delete(vm);
        }
        for (const abandoned of before) {
            if (!after.includes(abandoned)) {
                this.admissionController.release(abandoned.dispatch);
                this.events.record(EventKind.AbandonedReleased, { vm, detail: abandoned.dispatchId });
            }
        }
    }
}
