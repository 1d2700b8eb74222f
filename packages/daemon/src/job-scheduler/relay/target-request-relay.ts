import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { Clock } from "../../clock/clock.js";
import type { HttpResponse } from "../../http-client/http-response.js";
import { parseJsonBody } from "../../http/parse-json-body.js";
import type { LeaseRenewalRequest } from "../targets/lease-renewal-request.js";
import type { LeaseRenewalResponse } from "../targets/lease-renewal-response.js";
import { TargetRequestKind } from "../targets/target-request-kind.js";
import type { TargetRequestSender } from "../targets/target-request-sender.js";
import type { TargetResponse } from "../targets/target-response.js";
import { relayedRequestSchema } from "./relayed-request-schema.js";
import type { RelayedRequest } from "./relayed-request.js";

/**
 * Age of a request from which it is not sent, milliseconds. The leader has given it up by then; this process was
 * suspended, or the clocks differ, and in both cases the leader sends it itself.
 */
const maxAgeMs = 1_000;
const unknownKind: HttpResponse = { status: 404, body: Buffer.alloc(0) };
const malformed: HttpResponse = { status: 400, body: Buffer.alloc(0) };
const expired: HttpResponse = { status: 503, body: Buffer.alloc(0) };
const kinds: readonly string[] = Object.values(TargetRequestKind);

/** Sends requests to targets for the leader and returns their responses. */
export class TargetRequestRelay {
    /**
     * @param sender - sends the requests
     * @param clock - wall clock
     */
    constructor(private readonly sender: Pick<TargetRequestSender, "send">, private readonly clock: Clock) {}

    /**
     * Sends one request.
     * @param kind - its kind, as in the path of the call
     * @param body - the relayed request
     * @returns the response of the target; status 404 for an unknown kind, 400 for a
     *     malformed body, 503 when the request is too old to be sent
     */
    async handleRequest(kind: string, body: Buffer): Promise<HttpResponse> {
        if (!kinds.includes(kind)) {
            return unknownKind;
        }
        const call = parseJsonBody(body, relayedRequestSchema) as RelayedRequest | undefined;
        if (call === undefined) {
            return malformed;
        }
        if (Math.abs(this.clock.readWall() - call.sentAtMs) > maxAgeMs) {
            return expired;
        }
        const response = await this.sender.send(kind as TargetRequestKind, call.target as TargetRecord, call);
        return { status: 200, body: Buffer.from(JSON.stringify(dropRunning(call, response))) };
    }
}

/** Leaves the running tasks out of a renewal's response if the leader allows it. */
function dropRunning({ request }: RelayedRequest, response: TargetResponse): TargetResponse {
    const { ended } = response as Partial<LeaseRenewalResponse>;
    const { mayOmitRunning } = request as Partial<LeaseRenewalRequest>;
    return mayOmitRunning === true && ended !== undefined && ended.length > 0
        ? { ...response, running: undefined } as TargetResponse
        : response;
}
