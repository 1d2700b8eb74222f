import { addRequest } from "@daisylock/core/admission/add-request.js";
import { countAllowedSlots } from "@daisylock/core/admission/count-allowed-slots.js";
import type { Dispatch } from "@daisylock/core/admission/dispatch.js";
import type { Refusal } from "@daisylock/core/admission/refusal.js";
import { releaseAbandonedRequest } from "@daisylock/core/admission/release-abandoned-request.js";
import { removeWaitingRequest } from "@daisylock/core/admission/remove-waiting-request.js";
import { settleDispatch } from "@daisylock/core/admission/settle-dispatch.js";
import { takeDispatches } from "@daisylock/core/admission/take-dispatches.js";
import { takeExpiredRequests } from "@daisylock/core/admission/take-expired-requests.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";
import { HealthState } from "@daisylock/core/health/health-state.js";
import { recordTargetResult } from "@daisylock/core/health/record-target-result.js";
import { RefusalReason } from "@daisylock/core/outcomes/refusal-reason.js";
import Result from "true-myth/result";

import type { Clock } from "../../../clock/clock.js";
import type { EventLog } from "../../../events/event-log.js";
import type { EntryState } from "../entry-state.js";
import type { SlotWait } from "./slot-wait.js";

/** Delay before a refused caller should retry, milliseconds. */
const retryAfterMs = 1_000;

type DecisionCallback = (result: Result<Dispatch, Refusal>) => void;
type SlotRequest = Parameters<typeof addRequest>[1];

/** Queues requests, assigns them to slots of targets, and passes each decision to the request that waits for it. */
export class AdmissionController {
    private readonly decisionCallbacks = new Map<number, DecisionCallback>();

    /**
     * @param state - state of the entry
     * @param clock - monotonic time
     * @param events - log for ejected and recovered targets
     * @param wakeLeaderSync - starts the next sync with the leader at once
     */
    constructor(
        private readonly state: EntryState,
        private readonly clock: Clock,
        private readonly events: EventLog,
        private readonly wakeLeaderSync: () => void,
    ) {}

    /**
     * Queues a request for a slot.
     * @param request - the request to start
     * @returns the decision, immediate or pending, and a callback that cancels the wait
     */
    addRequest(request: SlotRequest): SlotWait {
        const now = this.clock.readMonotonic();
        const { admission } = this.state;
        const result = addRequest(admission, request, now);
        if ("refused" in result) {
            return buildSettledWait(Result.err(result.refused));
        }
        const { accepted } = result;
        let immediate: Result<Dispatch, Refusal> | undefined;
        this.decisionCallbacks.set(accepted.id, decided => {
            immediate = decided;
        });
        this.startPoolRequests(request.pool);
        if (immediate !== undefined) {
            return buildSettledWait(immediate);
        }
        this.handleMissingAllowance(request);
        const decision = new Promise<Result<Dispatch, Refusal>>(resolve =>
            this.decisionCallbacks.set(accepted.id, resolve)
        );
        const cancel = () => {
            if (removeWaitingRequest(admission, accepted)) {
                this.settleWait(accepted.id, Result.err({ reason: RefusalReason.Cancelled }));
            }
        };
        return { decision, cancel };
    }

    /**
     * Settles a started request: updates the slot and the health of its target, and starts queued requests.
     * @param dispatch - the request
     * @param end - whether the target may still run the request, and whether the target failed
     */
    settle(dispatch: Dispatch, end: { readonly isStillRunning: boolean; readonly isTargetFault: boolean }): void {
        const now = this.clock.readMonotonic();
        settleDispatch(this.state.admission, dispatch, end.isStillRunning, now);
        const { target } = dispatch;
        const before = target.health.state;
        recordTargetResult(target.health, end.isTargetFault, now);
        this.recordHealthChange(target.vm, before, target.health.state);
        this.startPoolRequests(dispatch.request.pool);
    }

    /**
     * Releases the slot and the unit of the team's upper limit that an abandoned request holds.
     * @param dispatch - the abandoned request
     */
    release(dispatch: Dispatch): void {
        releaseAbandonedRequest(this.state.admission, dispatch);
        this.startPoolRequests(dispatch.request.pool);
    }

    /** Starts the queued requests that can start in any pool; called after allowances or targets have changed. */
    startQueuedRequests(): void {
        for (const pool of this.state.admission.pools.values()) {
            this.startPoolRequests(pool.name);
        }
    }

    /**
     * Tells whether any request waits for a slot.
     * @returns true when at least one does
     */
    isAnyWaiting(): boolean {
        return this.state.admission.waiting > 0;
    }

    /** Refuses the queued requests that can no longer start in time. */
    refuseExpired(): void {
        const { admission } = this.state;
        for (const request of takeExpiredRequests(admission, this.clock.readMonotonic())) {
            const pool = admission.pools.get(request.pool);
            const hasSlots = pool !== undefined && countAllowedSlots(admission, pool) > 0;
            const reason = hasSlots ? RefusalReason.QueueTimeout : RefusalReason.NoTarget;
            this.settleWait(request.id, Result.err({ reason, retryAfterMs }));
        }
        if (admission.waiting > 0) {
            // The ejection of a target ends after a delay, without an event that would start the queued requests.
            this.startQueuedRequests();
        }
    }

    private startPoolRequests(pool: string): void {
        for (const dispatch of takeDispatches(this.state.admission, pool, this.clock.readMonotonic())) {
            this.settleWait(dispatch.request.id, Result.ok(dispatch));
        }
    }

    private settleWait(id: number, result: Result<Dispatch, Refusal>): void {
        const resolve = this.decisionCallbacks.get(id);
        this.decisionCallbacks.delete(id);
        resolve?.(result);
    }

    /**
     * Starts a sync if this entry has no allowance for the pool or team of a request. The leader learns of the first
     * request of a pool or team at this entry only from the next report.
     */
    private handleMissingAllowance(request: SlotRequest): void {
        const { admission } = this.state;
        const pool = admission.pools.get(request.pool);
        const hasSlots = pool !== undefined && countAllowedSlots(admission, pool) > 0;
        const hasLimit = (admission.teams.get(request.team)?.allowed ?? 0) > 0;
        if (!hasSlots || !hasLimit) {
            this.wakeLeaderSync();
        }
    }

    private recordHealthChange(vm: string, before: HealthState, after: HealthState): void {
        if (before === after) {
            return;
        }
        if (after === HealthState.Ejected) {
            this.events.record(EventKind.TargetEjected, { vm });
        }
        else if (after === HealthState.Healthy) {
            this.events.record(EventKind.TargetRecovered, { vm });
        }
    }
}

function buildSettledWait(immediate: Result<Dispatch, Refusal>): SlotWait {
    return { immediate, decision: Promise.resolve(immediate), cancel: () => undefined };
}
