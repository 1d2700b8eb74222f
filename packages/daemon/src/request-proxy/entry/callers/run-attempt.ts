import type { Dispatch } from "@daisylock/core/admission/dispatch.js";
import type { ServerResponse } from "node:http";

import { waitFor } from "../../../concurrency/wait-for.js";
import type { AttemptResult } from "../forwarding/attempt-result.js";
import type { RequestBody } from "../forwarding/request-body.js";
import { TargetAttempt } from "../forwarding/target-attempt.js";
import type { CallerDependencies } from "./caller-dependencies.js";
import type { CallerRequest } from "./caller-request.js";
import type { RequestTelemetry } from "./request-telemetry.js";

/** Input of one attempt. */
interface AttemptInput {
    readonly call: CallerRequest;
    readonly body: RequestBody;
    readonly response: ServerResponse;
    readonly dispatch: Dispatch;
    /** Whether an earlier attempt of the request has failed. */
    readonly isRetry: boolean;
    /** Whether an error response may be discarded and the request retried on another target. */
    readonly mayRetryOnOtherTarget: boolean;
    readonly telemetry: RequestTelemetry;
}

let nextDispatchNumber = 1;

/**
 * Sends a request to the target that admission control picked, and settles the slot afterwards; use with `yield*` in a
 * goroutine.
 * @param dependencies - components of the entry
 * @param input - the request, its body and its target
 * @returns the result of the attempt
 */
export function* runAttempt(
    dependencies: CallerDependencies,
    input: AttemptInput,
): Generator<unknown, AttemptResult, unknown> {
    const {
        state,
        connections,
        halfOpenDetector,
        admissionController,
        abandonedRequests,
        clock,
        noteFault,
    } = dependencies;
    const { limits, node, cluster } = state.settings;
    const { call: request, dispatch } = input;
    const { vm, incarnation } = dispatch.target;
    const address = cluster.dial[dispatch.target.address] ?? dispatch.target.address;
    const dispatchId = `${node.name}@${state.incarnation}/${nextDispatchNumber++}`;
    input.telemetry.recordDispatched(request, dispatch, dispatchId);
    const attempt = new TargetAttempt({
        call: request,
        body: input.body,
        response: input.response,
        team: dispatch.request.team,
        address,
        dispatchId,
        // An unrepeatable request gets a new connection: if the target closed a kept-alive connection just as the
        // request was sent, it would be unknown whether the request ran. So does a retry, as what broke one kept-alive
        // connection may have broken those to other targets.
        agent: request.isUnrepeatable || input.isRetry ? undefined : connections.findOrCreateAgent(address),
        mayRetryOnOtherTarget: input.mayRetryOnOtherTarget,
        connectTimeoutMs: limits.connect_timeout_ms,
        bodyStallMs: limits.body_stall_ms,
        maxBodyBytes: limits.max_body_bytes,
        clock,
        noteFault,
    });
    halfOpenDetector.add(vm, address, dispatchId, attempt);
    const result = yield* waitFor(attempt.run());
    halfOpenDetector.drop(vm, dispatchId);
    admissionController.settle(dispatch, result);
    if (result.isStillRunning) {
        abandonedRequests.add(dispatch, dispatchId, incarnation);
    }
    return result;
}
