import type { Dispatch } from "@daisylock/core/admission/dispatch.js";
import type { ServerResponse } from "node:http";

import { waitFor } from "../../../concurrency/wait-for.js";
import type { AttemptResult } from "../forwarding/attempt-result.js";
import type { RequestBody } from "../forwarding/request-body.js";
import { TargetAttempt } from "../forwarding/target-attempt.js";
import type { CallerDependencies } from "./caller-dependencies.js";
import type { CallerRequest } from "./caller-request.js";
import type { RequestTelemetry } from "./request-telemetry.js";

/** What one attempt needs. */
interface AttemptInput {
    readonly call: CallerRequest;
    readonly body: RequestBody;
    readonly response: ServerResponse;
    readonly dispatch: Dispatch;
    /** Whether an error answer of the target may be dropped in favour of another attempt. */
    readonly mayRetryOnOtherTarget: boolean;
    readonly telemetry: RequestTelemetry;
}

let nextDispatchNumber = 1;

/**
 * Sends a request to the target that admission picked, and accounts for the slot; use with `yield*` in a goroutine.
 * @param surroundings - the entry
 * @param input - the request and its target
 * @returns how the attempt ended
 */
export function* runAttempt(
    surroundings: CallerDependencies,
    input: AttemptInput,
): Generator<unknown, AttemptResult, unknown> {
    const {
        state,
        connections,
        halfOpenDetector: watch,
        admissionController: desk,
        abandonedRequests: abandoned,
        clock,
    } = surroundings;
    const { limits, node, cluster } = state.settings;
    const { call, dispatch } = input;
    const { vm, incarnation } = dispatch.target;
    const address = cluster.dial[dispatch.target.address] ?? dispatch.target.address;
    const dispatchId = `${node.name}@${state.incarnation}/${nextDispatchNumber++}`;
    input.telemetry.recordDispatched(call, dispatch, dispatchId);
    const attempt = new TargetAttempt({
        call,
        body: input.body,
        response: input.response,
        team: dispatch.request.team,
        address,
        dispatchId,
        // On a kept connection that is just being closed, nobody could tell whether the request ran.
        agent: call.isUnrepeatable ? undefined : connections.findOrCreateAgent(address),
        mayRetryOnOtherTarget: input.mayRetryOnOtherTarget,
        connectTimeoutMs: limits.connect_timeout_ms,
        bodyStallMs: limits.body_stall_ms,
        maxBodyBytes: limits.max_body_bytes,
        clock,
    });
    watch.add(vm, address, dispatchId, attempt);
    const result = yield* waitFor(attempt.run());
    watch.drop(vm, dispatchId);
    desk.settle(dispatch, result);
    if (result.isStillRunning) {
        abandoned.add(dispatch, dispatchId, incarnation);
    }
    return result;
}
