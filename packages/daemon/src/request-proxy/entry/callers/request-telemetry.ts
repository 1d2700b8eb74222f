import type { Dispatch } from "@daisylock/core/admission/dispatch.js";
import type { Refusal } from "@daisylock/core/admission/refusal.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";
import type { UnknownOutcomeReason } from "@daisylock/core/outcomes/unknown-outcome-reason.js";

import { MetricName } from "../../../metrics/metric-name.js";
import type { AttemptResult } from "../forwarding/attempt-result.js";
import type { CallerDependencies } from "./caller-dependencies.js";
import type { CallerRequest } from "./caller-request.js";

/** Records the events and metrics of one request. */
export class RequestTelemetry {
    /**
     * @param dependencies - clock, event log and metrics
     * @param startedAt - time of arrival of the request, monotonic milliseconds
     */
    constructor(
        private readonly dependencies: Pick<CallerDependencies, "clock" | "events" | "metrics">,
        private readonly startedAt: number,
    ) {}

    /**
     * Records that the request is dispatched to a target.
     * @param request - the request
     * @param dispatch - the target and its slot
     * @param dispatchId - identifier of the attempt, which the target receives too
     */
    recordDispatched(request: CallerRequest, dispatch: Dispatch, dispatchId: string): void {
        this.record(EventKind.RequestDispatched, request, dispatch, dispatchId);
    }

    /**
     * Records that a failed attempt is followed by another.
     * @param request - the request
     * @param dispatch - target of the failed attempt
     * @param result - result of the failed attempt
     */
    recordRetried(request: CallerRequest, dispatch: Dispatch, result: AttemptResult): void {
        this.dependencies.metrics.addCount(MetricName.RequestsRetried);
        this.record(EventKind.RequestRetried, request, dispatch, result.reason ?? result.end);
    }

    /**
     * Records that the caller received the whole response of the target.
     * @param request - the request
     * @param result - result of the attempt
     */
    recordAnswered(request: CallerRequest, result: AttemptResult): void {
        const { metrics, clock } = this.dependencies;
        metrics.addCount(MetricName.RequestsAnswered);
        metrics.recordTime(MetricName.RequestDuration, clock.readMonotonic() - this.startedAt);
        this.record(EventKind.RequestAnswered, request, undefined, String(result.status));
    }

    /**
     * Records a refusal.
     * @param refusal - the refusal
     * @param request - the request; `undefined` when it could not be parsed
     */
    recordRefused(refusal: Refusal, request: CallerRequest | undefined): void {
        this.dependencies.metrics.addCount(MetricName.RequestsRefused, { reason: refusal.reason });
        this.record(EventKind.RequestRefused, request, undefined, refusal.reason);
    }

    /**
     * Records that it is unknown whether the request ran.
     * @param request - the request
     * @param reason - why the outcome is unknown
     */
    recordUnknown(request: CallerRequest, reason: UnknownOutcomeReason): void {
        this.dependencies.metrics.addCount(MetricName.RequestsUnknown, { reason });
        this.record(EventKind.RequestUnknown, request, undefined, reason);
    }

    private record(
        kind: EventKind,
        request: CallerRequest | undefined,
        dispatch: Dispatch | undefined,
        detail: string,
    ): void {
        this.dependencies.events.record(kind, {
            request: request?.id,
            vm: dispatch?.target.vm,
            team: dispatch?.request.team,
            pool: dispatch?.request.pool,
            detail,
        });
    }
}
