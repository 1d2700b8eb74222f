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

/** When a caller is asked to come back where nothing better is known, milliseconds. */
const retryAfterMs = 1_000;

const emptyBody: RequestBody = { kind: "buffered", content: Buffer.alloc(0) };

/** The way of one request from its arrival to its answer. */
export class RequestHandler {
    private readonly startedAt: number;
    private readonly telemetry: RequestTelemetry;
    private responseWriter: ResponseWriter;
    private claim: Claim | undefined;
    private isIdChecked = false;
    /** Why the request may have run, once an attempt ended without telling. */
    private unknownReason: UnknownOutcomeReason | undefined;
    private readonly triedVms = new Set<string>();

    /**
     * @param dependencies - the entry
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

    /** The goroutine of the request. */
    *run(): Generator<unknown, void, unknown> {
        const { state } = this.dependencies;
        const parsed = parseCallerRequest(this.incoming, state.settings.limits, this.startedAt);
        if (parsed.isErr) {
            this.responseWriter.writeRefusal(parsed.error);
            this.telemetry.recordRefused(parsed.error, undefined);
            return;
        }
        const call = parsed.value;
        this.responseWriter = new ResponseWriter(this.response, call.id);
        const authorized = checkAuthorization(state, call);
        if (authorized.isErr) {
            this.refuse(call, authorized.error);
            return;
        }
        const { replay_bytes, body_stall_ms } = state.settings.limits;
        const body = call.bodyBytes === 0
            ? Result.ok<RequestBody, ReadBodyFailure>(emptyBody)
            : yield* waitFor(readBody(this.incoming, call.bodyBytes, replay_bytes, body_stall_ms));
        if (body.isErr) {
            this.refuse(call, { reason: RefusalReason.Cancelled });
            return;
        }
        addRetryTokens(this.dependencies.retryBudget);
        if (call.isUnrepeatable && !(yield* this.sendClaim(call, authorized.value, body.value))) {
            return;
        }
        yield* this.runAttempts(call, authorized.value, body.value);
    }

    /** Claims an unrepeatable request; answers it and returns false when this flow may not run it. */
    private *sendClaim(
        call: CallerRequest,
        { team }: Authorization,
        body: RequestBody,
    ): Generator<unknown, boolean, unknown> {
        const content = body.kind === "buffered" ? body.content : undefined;
        const reply = yield* waitFor(this.dependencies.dispatchRecorder.sendClaim(team, call, content));
        if (reply.isErr) {
            this.writeUnknown(call, UnknownOutcomeReason.RecordUnreachable, retryAfterMs);
            return false;
        }
        const { claim, result } = reply.value;
        if (result.outcome === ClaimOutcome.Claimed) {
            this.claim = claim;
            this.isIdChecked = true;
            return true;
        }
        this.refuseUnclaimed(call, result);
        return false;
    }

    private refuseUnclaimed(call: CallerRequest, { outcome, record }: ClaimResult): void {
        if (outcome !== ClaimOutcome.AlreadyClaimed) {
            const isFull = outcome === ClaimOutcome.Full;
            this.isIdChecked = true;
            this.refuse(call, { reason: isFull ? RefusalReason.NotRecordable : RefusalReason.RequestIdReused });
            return;
        }
        if (record?.state !== DispatchState.Completed) {
            this.writeUnknown(call, UnknownOutcomeReason.EarlierAttempt, retryAfterMs);
            return;
        }
        if (record.answer?.body === undefined) {
            this.writeUnknown(call, UnknownOutcomeReason.AnswerNotKept);
            return;
        }
        this.responseWriter.writeRecorded(record.answer);
    }

    private *runAttempts(
        call: CallerRequest,
        authorization: Authorization,
        body: RequestBody,
    ): Generator<unknown, void, unknown> {
        const { limits } = this.dependencies.state.settings;
        for (let attempt = 1; attempt <= limits.max_attempts; attempt++) {
            const dispatch = yield* this.waitForSlot(call, authorization);
            if (dispatch === undefined) {
                return;
            }
            const isLast = attempt === limits.max_attempts;
            const mayTryElsewhere = !isLast && !call.isUnrepeatable && body.kind === "buffered"
                && isRetryLeft(this.dependencies.retryBudget);
            this.assertOneDispatch(call);
            const result = yield* runAttempt(this.dependencies, {
                call,
                body,
                response: this.response,
                dispatch,
                mayRetryOnOtherTarget: mayTryElsewhere,
                telemetry: this.telemetry,
            });
            if (this.handleAttemptResult(call, result)) {
                return;
            }
            if (isLast || !this.isRetryAllowed(call, body, result)) {
                break;
            }
            this.triedVms.add(dispatch.target.vm);
            this.telemetry.recordRetried(call, dispatch, result);
        }
        this.refuse(call, { reason: RefusalReason.AttemptsFailed, retryAfterMs });
    }

    private *waitForSlot(
        call: CallerRequest,
        authorization: Authorization,
    ): Generator<unknown, Dispatch | undefined, unknown> {
        const { admissionController: desk, state, clock, metrics } = this.dependencies;
        const now = clock.readMonotonic();
        const wait = desk.addRequest({
            ...authorization,
            isUrgent: call.isUrgent,
            deadlineAt: call.deadlineAt,
            maxQueueMs: state.settings.limits.max_queue_ms,
            avoid: this.triedVms,
        });
        const { revision } = state.tables;
        const decision = wait.immediate ?? (yield* this.waitForDecision(wait));
        metrics.recordTime(MetricName.RequestWait, clock.readMonotonic() - now);
        if (decision.isErr) {
            this.refuse(call, decision.error);
            return undefined;
        }
        const dispatch = decision.value;
        const isUnchanged = wait.immediate !== undefined && revision === state.tables.revision;
        const refusal = isUnchanged ? undefined : this.checkStillAuthorized(call, authorization);
        if (refusal !== undefined) {
            desk.settle(dispatch, { isStillRunning: false, isTargetFault: false });
            this.refuse(call, refusal);
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

    /** A key may have been revoked, or the route changed, while the request waited. */
    private checkStillAuthorized(call: CallerRequest, before: Authorization): Refusal | undefined {
        const now = checkAuthorization(this.dependencies.state, call);
        if (now.isErr) {
            return now.error;
        }
        const isSame = now.value.team === before.team && now.value.pool === before.pool;
        return isSame ? undefined : { reason: RefusalReason.NoTarget, retryAfterMs };
    }

    private assertOneDispatch(call: CallerRequest): void {
        assertInvariant(
            !call.isUnrepeatable || (this.claim !== undefined && this.unknownReason === undefined),
            Invariant.OneDispatchForUnrepeatable,
            () => `${call.id} would be sent without a claim or twice`,
        );
    }

    /** Finishes the flow if the attempt decided the answer. */
    private handleAttemptResult(call: CallerRequest, result: AttemptResult): boolean {
        switch (result.end) {
            case AttemptEnd.Answered:
                if (this.claim !== undefined) {
                    this.dependencies.dispatchRecorder.sendOutcome(this.claim, DispatchState.Completed, result.answer);
                }
                this.telemetry.recordAnswered(call, result);
                return true;
            case AttemptEnd.ResponseTruncated:
                // The transfer fails visibly: a part of an answer is never passed off as the whole.
                this.response.destroy();
                this.telemetry.recordUnknown(call, result.reason ?? UnknownOutcomeReason.ConnectionLost);
                return true;
            case AttemptEnd.CallerDisconnected:
                this.telemetry.recordUnknown(call, result.reason ?? UnknownOutcomeReason.ConnectionLost);
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

    private isRetryAllowed(call: CallerRequest, body: RequestBody, result: AttemptResult): boolean {
        const isSafe = result.end === AttemptEnd.NotRun || !call.isUnrepeatable;
        const isBodyKept = body.kind === "buffered" || !body.source.readableDidRead;
        const isInTime = this.dependencies.clock.readMonotonic() < call.deadlineAt;
        return isSafe && isBodyKept && isInTime && takeRetryToken(this.dependencies.retryBudget);
    }

    /** Answers that the request was not run, or that it may have run when an attempt or an earlier sending left that open. */
    private refuse(call: CallerRequest, refusal: Refusal): void {
        if (this.unknownReason !== undefined) {
            this.writeUnknown(call, this.unknownReason);
            return;
        }
        if (call.isUnrepeatable && !this.isIdChecked) {
            this.writeUnknown(call, UnknownOutcomeReason.RecordUnreachable, refusal.retryAfterMs ?? retryAfterMs);
            return;
        }
        if (this.claim !== undefined) {
            this.dependencies.dispatchRecorder.sendOutcome(this.claim, DispatchState.NotRun, undefined);
        }
        this.responseWriter.writeRefusal(refusal);
        this.telemetry.recordRefused(refusal, call);
    }

    private writeUnknown(call: CallerRequest, reason: UnknownOutcomeReason, laterMs?: number): void {
        this.responseWriter.writeUnknown(reason, laterMs);
        this.telemetry.recordUnknown(call, reason);
    }
}
