import type { Dispatch } from "@daisylock/core/admission/dispatch.js";
import type { Refusal } from "@daisylock/core/admission/refusal.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";
import type { UnknownOutcomeReason } from "@daisylock/core/outcomes/unknown-outcome-reason.js";

import { MetricName } from "../../../metrics/metric-name.js";
import type { AttemptResult } from "../forwarding/attempt-result.js";
import type { CallerDependencies } from "./caller-dependencies.js";
import type { CallerRequest } from "./caller-request.js";

/** Records what becomes of one request, as events and metrics. */
export class RequestTelemetry {
    /**
     * @param dependencies - the entry
     * @param startedAt - arrival of the request, monotonic milliseconds
     */
    constructor(
        private readonly dependencies: Pick<CallerDependencies, "clock" | "events" | "metrics">,
        private readonly startedAt: number,
    ) {}

    /**
     * Records that an attempt begins.
     * @param call - the request
     * @param dispatch - its target
     * @param dispatchId - name of the attempt at the target
     */
    recordDispatched(call: CallerRequest, dispatch: Dispatch, dispatchId: string): void {
        this.record(EventKind.RequestDispatched, call, dispatch, dispatchId);
    }

    /**
     * Records that another attempt follows.
     * @param call - the request
     * @param dispatch - the target of the attempt that failed
     * @param result - how it failed
     */
    recordRetried(call: CallerRequest, dispatch: Dispatch, result: AttemptResult): void {
        this.dependencies.metrics.addCount(MetricName.RequestsRetried);
        this.record(EventKind.RequestRetried, call, dispatch, result.reason ?? result.end);
    }

    /**
     * Records that the caller got the target's answer.
     * @param call - the request
     * @param result - the attempt
     */
    recordAnswered(call: CallerRequest, result: AttemptResult): void {
        const { metrics, clock } = this.dependencies;
        metrics.addCount(MetricName.RequestsAnswered);
        metrics.recordTime(MetricName.RequestDuration, clock.readMonotonic() - this.startedAt);
        this.record(EventKind.RequestAnswered, call, undefined, String(result.status));
    }

    /**
     * Records a refusal.
     * @param refusal - the refusal
     * @param call - the request; `undefined` when it could not be parsed
     */
    recordRefused(refusal: Refusal, call: CallerRequest | undefined): void {
        this.dependencies.metrics.addCount(MetricName.RequestsRefused, { reason: refusal.reason });
        this.record(EventKind.RequestRefused, call, undefined, refusal.reason);
    }

    /**
     * Records that the outcome is not known.
     * @param call - the request
     * @param reason - why
     */
    recordUnknown(call: CallerRequest, reason: UnknownOutcomeReason): void {
        this.dependencies.metrics.addCount(MetricName.RequestsUnknown, { reason });
        this.record(EventKind.RequestUnknown, call, undefined, reason);
    }

    private record(
        kind: EventKind,
        call: CallerRequest | undefined,
        dispatch: Dispatch | undefined,
        detail: string,
    ): void {
        this.dependencies.events.record(kind, {
            request: call?.id,
            vm: dispatch?.target.vm,
            team: dispatch?.request.team,
            pool: dispatch?.request.pool,
            detail,
        });
    }
}
