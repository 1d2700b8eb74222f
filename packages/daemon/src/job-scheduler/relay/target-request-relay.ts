import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { Clock } from "../../clock/clock.js";
import type { HttpResponse } from "../../http-client/http-response.js";
import type { LeaseRenewalRequest } from "../targets/lease-renewal-request.js";
import type { RunRequest } from "../targets/run-request.js";
import type { StartTaskRequest } from "../targets/start-task-request.js";
import type { TargetClient } from "../targets/target-client.js";
import { TargetRequestKind } from "../targets/target-request-kind.js";
import type { TargetResponse } from "../targets/target-response.js";
import type { RelayedRequest } from "./relayed-request.js";

/**
 * Age of a request from which it is not sent, milliseconds. The leader has given it up by then; this process was
 * suspended, or the clocks differ, and in both cases the leader sends it itself.
 */
const maxAgeMs = 1_000;
const expired: HttpResponse = { status: 503, body: Buffer.alloc(0) };

/** Sends requests to targets for the leader and returns their responses. */
export class TargetRequestRelay {
    private readonly senders: Readonly<
        Record<TargetRequestKind, (target: TargetRecord, call: RelayedRequest) => Promise<TargetResponse>>
    > = {
        [TargetRequestKind.Start]: (target, { request }) => this.client.startTask(target, request as StartTaskRequest),
        [TargetRequestKind.Stop]: (target, { request }) => this.client.stopTask(target, request as RunRequest),
        [TargetRequestKind.Pace]: (target, { request, percent }) =>
            this.client.setPace(target, request as RunRequest, percent ?? 0),
        [TargetRequestKind.Renew]: (target, { request }) =>
            this.client.sendLeaseRenewal(target, request as LeaseRenewalRequest),
        [TargetRequestKind.Check]: (target, { request }) =>
            this.client.checkReachable(target, request as LeaseRenewalRequest),
    };

    /**
     * @param client - sends the requests
     * @param clock - wall clock
     */
    constructor(private readonly client: TargetClient, private readonly clock: Clock) {}

    /**
     * Sends one request.
     * @param kind - its kind, as in the path of the call
     * @param body - the relayed request
     * @returns the response of the target; status 404 for an unknown kind, 503 when the request is too old to be sent
     */
    async handleRequest(kind: string, body: Buffer): Promise<HttpResponse> {
        const send = Object.hasOwn(this.senders, kind) ? this.senders[kind as TargetRequestKind] : undefined;
        if (send === undefined) {
            return { status: 404, body: Buffer.alloc(0) };
        }
        const call = JSON.parse(body.toString()) as RelayedRequest;
        if (Math.abs(this.clock.readWall() - call.sentAtMs) > maxAgeMs) {
            return expired;
        }
        const response = await send(call.target as TargetRecord, call);
        return { status: 200, body: Buffer.from(JSON.stringify(response)) };
    }
}
