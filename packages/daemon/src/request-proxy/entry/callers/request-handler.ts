import type { Dispatch } from "@daisylock/core/admission/dispatch.js";
import type { Refusal } from "@daisylock/core/admission/refusal.js";
import { ClaimOutcome } from "@daisylock/core/control/claim-outcome.js";
import type { ClaimResult } from "@daisylock/core/control/claim-result.js";
import { DispatchState } from "@daisylock/core/control/dispatch-state.js";
import { assertInvariant } from "@daisylock/core/invariants/assert-invariant.js";
import { Invariant } from "@daisylock/core/invariants/invariant.js";
import { RefusalReason } from "@daisylock/core/outcomes/refusal-reason.js";
import { UnknownOutcomeReason } from "@daisylock/core/outcomes/unknown-outcome-reason.js";
import { addRetryTokens } from "@daisylock/core/retries/add-retry-tokens.js";
import { isRetryLeft } from "@daisylock/core/retries/is-retry-left.js";
import { takeRetryToken } from "@daisylock/core/retries/take-retry-token.js";
import type { IncomingMessage, ServerResponse } from "node:http";
import Result from "true-myth/result";

import { waitFor } from "../../../concurrency/wait-for.js";
import { MetricName } from "../../../metrics/metric-name.js";
import type { SlotWait } from "../admission/slot-wait.js";
import { AttemptEnd } from "../forwarding/attempt-end.js";
import type { AttemptResult } from "../forwarding/attempt-result.js";
import type { ReadBodyFailure } from "../forwarding/read-body-failure.js";
import { readBody } from "../forwarding/read-body.js";
import type { RequestBody } from "../forwarding/request-body.js";
import type { Authorization } from "./authorization.js";
import type { CallerDependencies } from "./caller-dependencies.js";
import type { CallerRequest } from "./caller-request.js";
import { checkAuthorization } from "./check-authorization.js";
import type { Claim } from "./claim.js";
import { parseCallerRequest } from "./parse-caller-request.js";
import { RequestTelemetry } from "./request-telemetry.js";
import { ResponseWriter } from "./response-writer.js";
import { runAttempt } from "./run-attempt.js";

/** Default delay before a caller should retry, milliseconds. */
const retryAfterMs = 1_000;

const emptyBody: RequestBody = { kind: "buffered", content: Buffer.alloc(0) };

/** Handles one request of a caller, from its arrival to the response. */
export class RequestHandler {
    private readonly startedAt: number;
    private readonly telemetry: RequestTelemetry;
    private responseWriter: ResponseWriter;
    private claim: Claim | undefined;
    /** Whether the keepers have confirmed that the request was not sent before under the same id. */
    private isIdChecked = false;
    /** Why the request may have run; set when an attempt ends with an unknown outcome. */
    private unknownReason: UnknownOutcomeReason | undefined;
    /** VMs of earlier attempts, which the next attempt avoids. */
    private readonly triedVms = new Set<string>();

    /**
     * @param dependencies - components of the entry
     * @param incoming - the caller's request
     * @param response - the caller's response
     */
    constructor(
        private readonly dependencies: CallerDependencies,
        private readonly incoming: IncomingMessage,
        private readonly response: ServerResponse,
    ) {
        this.startedAt = dependencies.clock.readMonotonic();
        this.telemetry = new RequestTelemetry(dependencies, this.startedAt);
        this.responseWriter = new ResponseWriter(response, "");
    }

    /** Handles the request; runs in a goroutine of its own. */
    *run(): Generator<unknown, void, unknown> {
        const { state } = this.dependencies;
        const parsed = parseCallerRequest(this.incoming, state.settings.limits, this.startedAt);
        if (parsed.isErr) {
            this.responseWriter.writeRefusal(parsed.error);
            this.telemetry.recordRefused(parsed.error, undefined);
            return;
        }
        const request = parsed.value;
        this.responseWriter = new ResponseWriter(this.response, request.id);
        const authorized = checkAuthorization(state, request);
        if (authorized.isErr) {
            this.refuse(request, authorized.error);
            return;
        }
        const { replay_bytes, body_stall_ms } = state.settings.limits;
        const body = request.bodyBytes === 0
            ? Result.ok<RequestBody, ReadBodyFailure>(emptyBody)
            : yield* waitFor(readBody(this.incoming, request.bodyBytes, replay_bytes, body_stall_ms));
        if (body.isErr) {
            this.refuse(request, { reason: RefusalReason.Cancelled });
            return;
        }
        addRetryTokens(this.dependencies.retryBudget);
        if (request.isUnrepeatable && !(yield* this.sendClaim(request, authorized.value, body.value))) {
            return;
        }
        yield* this.runAttempts(request, authorized.value, body.value);
    }

    /** Claims an unrepeatable request. Writes a response and returns false when this handler must not dispatch it. */
    private *sendClaim(
        request: CallerRequest,
        { team }: Authorization,
        body: RequestBody,
    ): Generator<unknown, boolean, unknown> {
        const content = body.kind === "buffered" ? body.content : undefined;
        const reply = yield* waitFor(this.dependencies.dispatchRecorder.sendClaim(team, request, content));
        if (reply.isErr) {
            this.writeUnknown(request, UnknownOutcomeReason.RecordUnreachable, retryAfterMs);
            return false;
        }
        const { claim, result } = reply.value;
        if (result.outcome === ClaimOutcome.Claimed) {
            this.claim = claim;
            this.isIdChecked = true;
            return true;
        }
        this.refuseUnclaimed(request, result);
        return false;
    }

    private refuseUnclaimed(request: CallerRequest, { outcome, record }: ClaimResult): void {
        if (outcome !== ClaimOutcome.AlreadyClaimed) {
            const isFull = outcome === ClaimOutcome.Full;
            this.isIdChecked = true;
            this.refuse(request, { reason: isFull ? RefusalReason.NotRecordable : RefusalReason.RequestIdReused });
            return;
        }
        if (record?.state !== DispatchState.Completed) {
            this.writeUnknown(request, UnknownOutcomeReason.EarlierAttempt, retryAfterMs);
            return;
        }
        if (record.answer?.body === undefined) {
            this.writeUnknown(request, UnknownOutcomeReason.AnswerNotKept);
            return;
        }
        this.responseWriter.writeRecorded(record.answer);
    }

    /** Runs attempts until one decides the response, the request is refused or no retry is allowed. */
    private *runAttempts(
        request: CallerRequest,
        authorization: Authorization,
        body: RequestBody,
    ): Generator<unknown, void, unknown> {
        const { limits } = this.dependencies.state.settings;
        for (let attempt = 1; attempt <= limits.max_attempts; attempt++) {
            const dispatch = yield* this.waitForSlot(request, authorization);
            if (dispatch === undefined) {
                return;
            }
            const isLast = attempt === limits.max_attempts;
            const mayRetryOnOtherTarget = !isLast && !request.isUnrepeatable && body.kind === "buffered"
                && isRetryLeft(this.dependencies.retryBudget);
            this.assertOneDispatch(request);
            const result = yield* runAttempt(this.dependencies, {
                call: request,
                body,
                response: this.response,
                dispatch,
                isRetry: attempt > 1,
                mayRetryOnOtherTarget,
                telemetry: this.telemetry,
            });
            if (this.handleAttemptResult(request, result)) {
                return;
            }
            if (isLast || !this.isRetryAllowed(request, body, result)) {
                break;
            }
            this.triedVms.add(dispatch.target.vm);
            this.telemetry.recordRetried(request, dispatch, result);
        }
        this.refuse(request, { reason: RefusalReason.AttemptsFailed, retryAfterMs });
    }

    /** Waits for a slot. Writes a response and returns `undefined` when the request is refused. */
    private *waitForSlot(
        request: CallerRequest,
        authorization: Authorization,
    ): Generator<unknown, Dispatch | undefined, unknown> {
        const { admissionController, state, clock, metrics } = this.dependencies;
        const queuedAt = clock.readMonotonic();
        const wait = admissionController.addRequest({
            ...authorization,
            isUrgent: request.isUrgent,
            deadlineAt: request.deadlineAt,
            maxQueueMs: state.settings.limits.max_queue_ms,
            avoid: this.triedVms,
        });
        const { revision } = state.tables;
        const decision = wait.immediate ?? (yield* this.waitForDecision(wait));
        metrics.recordTime(MetricName.RequestWait, clock.readMonotonic() - queuedAt);
        if (decision.isErr) {
            this.refuse(request, decision.error);
            return undefined;
        }
        const dispatch = decision.value;
        const isUnchanged = wait.immediate !== undefined && revision === state.tables.revision;
        const refusal = isUnchanged ? undefined : this.checkStillAuthorized(request, authorization);
        if (refusal !== undefined) {
            admissionController.settle(dispatch, { isStillRunning: false, isTargetFault: false });
            this.refuse(request, refusal);
            return undefined;
        }
        return dispatch;
    }

    private *waitForDecision(wait: SlotWait): Generator<unknown, Result<Dispatch, Refusal>, unknown> {
        this.response.once("close", wait.cancel);
        const decision = yield* waitFor(wait.decision);
        this.response.off("close", wait.cancel);
        return decision;
    }

    /** Checks the authorization again: the key may have been revoked, or the route changed, while the request waited. */
    private checkStillAuthorized(request: CallerRequest, before: Authorization): Refusal | undefined {
        const current = checkAuthorization(this.dependencies.state, request);
        if (current.isErr) {
            return current.error;
        }
        const isSame = current.value.team === before.team && current.value.pool === before.pool;
        return isSame ? undefined : { reason: RefusalReason.NoTarget, retryAfterMs };
    }

    private assertOneDispatch(request: CallerRequest): void {
        assertInvariant(
            !request.isUnrepeatable || (this.claim !== undefined && this.unknownReason === undefined),
            Invariant.OneDispatchForUnrepeatable,
            () => `request ${request.id} would be dispatched without a claim or a second time`,
        );
    }

    /** Handles the result of an attempt; returns whether the request is finished. */
    private handleAttemptResult(request: CallerRequest, result: AttemptResult): boolean {
        switch (result.end) {
            case AttemptEnd.Answered:
                if (this.claim !== undefined) {
                    this.dependencies.dispatchRecorder.sendOutcome(this.claim, DispatchState.Completed, result.answer);
                }
                this.telemetry.recordAnswered(request, result);
                return true;
            case AttemptEnd.ResponseTruncated:
                // Closes the connection, so that the caller does not take the truncated response for a complete one.
                this.response.destroy();
                this.telemetry.recordUnknown(request, result.reason ?? UnknownOutcomeReason.ConnectionLost);
                return true;
            case AttemptEnd.CallerDisconnected:
                this.telemetry.recordUnknown(request, result.reason ?? UnknownOutcomeReason.ConnectionLost);
                return true;
            case AttemptEnd.Unknown:
                this.unknownReason = result.reason;
                return false;
            case AttemptEnd.ErrorResponse:
                this.unknownReason = UnknownOutcomeReason.TargetError;
                return false;
            case AttemptEnd.NotRun:
                return false;
        }
    }

    private isRetryAllowed(request: CallerRequest, body: RequestBody, result: AttemptResult): boolean {
        const isSafe = result.end === AttemptEnd.NotRun || !request.isUnrepeatable;
        const isBodyKept = body.kind === "buffered" || !body.source.readableDidRead;
        const isInTime = this.dependencies.clock.readMonotonic() < request.deadlineAt;
        return isSafe && isBodyKept && isInTime && takeRetryToken(this.dependencies.retryBudget);
    }

    /**
     * Responds that the request was not run. If an attempt or an earlier request with the same id has an unknown
     * outcome, responds instead that the request may have run.
     */
    private refuse(request: CallerRequest, refusal: Refusal): void {
        if (this.unknownReason !== undefined) {
            this.writeUnknown(request, this.unknownReason);
            return;
        }
        if (request.isUnrepeatable && !this.isIdChecked) {
            this.writeUnknown(request, UnknownOutcomeReason.RecordUnreachable, refusal.retryAfterMs ?? retryAfterMs);
            return;
        }
        if (this.claim !== undefined) {
            this.dependencies.dispatchRecorder.sendOutcome(this.claim, DispatchState.NotRun, undefined);
        }
        this.responseWriter.writeRefusal(refusal);
        this.telemetry.recordRefused(refusal, request);
    }

    private writeUnknown(request: CallerRequest, reason: UnknownOutcomeReason, retryDelayMs?: number): void {
        this.responseWriter.writeUnknown(reason, retryDelayMs);
        this.telemetry.recordUnknown(request, reason);
    }
}
