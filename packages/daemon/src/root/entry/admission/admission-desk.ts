import { addRequest } from "@daisylock/core/admission/add-request.js";
import type { Dispatch } from "@daisylock/core/admission/dispatch.js";
import { readAllowedSlots } from "@daisylock/core/admission/read-allowed-slots.js";
import type { Refusal } from "@daisylock/core/admission/refusal.js";
import { releaseAbandoned } from "@daisylock/core/admission/release-abandoned.js";
import { settleDispatch } from "@daisylock/core/admission/settle-dispatch.js";
import { settleWaiting } from "@daisylock/core/admission/settle-waiting.js";
import { takeDispatches } from "@daisylock/core/admission/take-dispatches.js";
import { takeExpired } from "@daisylock/core/admission/take-expired.js";
import { RefusalReason } from "@daisylock/core/answers/refusal-reason.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";
import { HealthState } from "@daisylock/core/health/health-state.js";
import { noteTargetResult } from "@daisylock/core/health/note-target-result.js";
import Result from "true-myth/result";

import type { Clock } from "../../../clock/clock.js";
import type { EventLog } from "../../../events/event-log.js";
import type { EntryState } from "../entry-state.js";
import type { SlotWait } from "./slot-wait.js";

/** Soonest time at which a refused caller is asked to come back, milliseconds. */
const retryAfterMs = 1_000;

type Decide = (result: Result<Dispatch, Refusal>) => void;
type SlotRequest = Parameters<typeof addRequest>[1];

/** Decides which request starts where, and tells the requests that wait. */
export class AdmissionDesk {
    private readonly waiting = new Map<number, Decide>();

    /**
     * @param state - the entry
     * @param clock - monotonic time
     * @param events - where ejected targets are recorded
     * @param wakeFollower - asks for an early exchange with the leader
     */
    constructor(
        private readonly state: EntryState,
        private readonly clock: Clock,
        private readonly events: EventLog,
        private readonly wakeFollower: () => void,
    ) {}

    /**
     * Waits for a slot.
     * @param request - what wants to start
     * @returns the decision to come, and a way to give up waiting
     */
    openWait(request: SlotRequest): SlotWait {
        const now = this.clock.readMonotonic();
        const { admission } = this.state;
        const result = addRequest(admission, request, now);
        if ("refused" in result) {
            return buildSettledWait(Result.err(result.refused));
        }
        const { accepted } = result;
        let immediate: Result<Dispatch, Refusal> | undefined;
        this.waiting.set(accepted.id, decided => {
            immediate = decided;
        });
        this.startPool(request.pool);
        if (immediate !== undefined) {
            return buildSettledWait(immediate);
        }
        this.noteStarving(request);
        const decision = new Promise<Result<Dispatch, Refusal>>(resolve => this.waiting.set(accepted.id, resolve));
        const cancel = () => {
            if (settleWaiting(admission, accepted)) {
                this.settleWait(accepted.id, Result.err({ reason: RefusalReason.Cancelled }));
            }
        };
        return { decision, cancel };
    }

    /**
     * Ends a started request.
     * @param dispatch - the request
     * @param end - whether its target may still run it, and whether the target failed
     */
    settle(dispatch: Dispatch, end: { readonly isStillRunning: boolean; readonly isTargetFault: boolean }): void {
        const now = this.clock.readMonotonic();
        settleDispatch(this.state.admission, dispatch, end.isStillRunning, now);
        const { target } = dispatch;
        const before = target.health.state;
        noteTargetResult(target.health, end.isTargetFault, now);
        this.noteHealth(target.vm, before, target.health.state);
        this.startPool(dispatch.request.pool);
    }

    /**
     * Frees what a given-up request held.
     * @param dispatch - the request
     */
    release(dispatch: Dispatch): void {
        releaseAbandoned(this.state.admission, dispatch);
        this.startPool(dispatch.request.pool);
    }

    /** Starts what can start in every pool, after allowances or targets changed. */
    startWaiting(): void {
        for (const pool of this.state.admission.pools.values()) {
            this.startPool(pool.name);
        }
    }

    /**
     * Tells whether any request waits.
     * @returns true when one does
     */
    isAnyWaiting(): boolean {
        return this.state.admission.waiting > 0;
    }

    /** Refuses at once what can no longer start in time. */
    refuseExpired(): void {
        const { admission } = this.state;
        for (const request of takeExpired(admission, this.clock.readMonotonic())) {
            const pool = admission.pools.get(request.pool);
            const hasSlots = pool !== undefined && readAllowedSlots(admission, pool) > 0;
            const reason = hasSlots ? RefusalReason.QueueTimeout : RefusalReason.NoTarget;
            this.settleWait(request.id, Result.err({ reason, retryAfterMs }));
        }
        if (admission.waiting > 0) {
            // Ejected targets come back by time alone.
            this.startWaiting();
        }
    }

    private startPool(pool: string): void {
        for (const dispatch of takeDispatches(this.state.admission, pool, this.clock.readMonotonic())) {
            this.settleWait(dispatch.request.id, Result.ok(dispatch));
        }
    }

    private settleWait(id: number, result: Result<Dispatch, Refusal>): void {
        const resolve = this.waiting.get(id);
        this.waiting.delete(id);
        resolve?.(result);
    }

    /** The first request of a pool or team at this entry needs an allowance that the leader does not know of yet. */
    private noteStarving(request: SlotRequest): void {
        const { admission } = this.state;
        const pool = admission.pools.get(request.pool);
        const hasSlots = pool !== undefined && readAllowedSlots(admission, pool) > 0;
        const hasLimit = (admission.teams.get(request.team)?.allowed ?? 0) > 0;
        if (!hasSlots || !hasLimit) {
            this.wakeFollower();
        }
    }

    private noteHealth(vm: string, before: HealthState, after: HealthState): void {
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
