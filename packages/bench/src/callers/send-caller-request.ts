import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import type { RequestOutcome } from "@daisylock/protocol/http/request-outcome.js";
import { type OutgoingHttpHeaders, request } from "node:http";

import type { CallerRequest } from "./caller-request.js";
import type { CallerResponse } from "./caller-response.js";

/**
 * Sends a request as a caller.
 * @param options - the request and the entry to send it to
 * @returns the response; status 0 without an outcome when the connection fails before the response is complete
 */
export function sendCallerRequest(options: CallerRequest): Promise<CallerResponse> {
    const failedResponse: CallerResponse = { status: 0, outcome: undefined, body: "", retryAfterSeconds: undefined };
    return new Promise(resolve => {
        const outgoing = request(`http://${options.entry}/v1/routes/${options.route}${options.path ?? "/"}`, {
            method: options.body === undefined ? "GET" : "POST",
            agent: options.agent,
            headers: buildHeaders(options),
        }, incoming => {
            const chunks: Buffer[] = [];
            incoming.on("data", (chunk: Buffer) => chunks.push(chunk));
            incoming.on("error", () => resolve(failedResponse));
            incoming.on("end", () => {
                const retryAfter = incoming.headers["retry-after"];
                resolve({
                    status: incoming.statusCode ?? 0,
                    outcome: incoming.headers[HeaderName.Outcome] as RequestOutcome | undefined,
                    body: Buffer.concat(chunks).toString(),
                    retryAfterSeconds: retryAfter === undefined ? undefined : Number(retryAfter),
                });
            });
        });
        outgoing.on("error", () => resolve(failedResponse));
        outgoing.end(options.body);
    });
}

function buildHeaders(options: CallerRequest): OutgoingHttpHeaders {
    const headers: OutgoingHttpHeaders = {};
    if (options.key !== undefined) {
        headers["authorization"] = `Bearer ${options.key}`;
    }
    if (options.requestId !== undefined) {
        headers[HeaderName.RequestId] = options.requestId;
    }
    if (options.isUnrepeatable === true) {
        headers[HeaderName.Unrepeatable] = "true";
    }
    if (options.isUrgent === true) {
        headers[HeaderName.Urgent] = "true";
    }
    if (options.deadlineMs !== undefined) {
        headers[HeaderName.DeadlineMs] = options.deadlineMs;
    }
    if (options.body !== undefined) {
        headers["content-length"] = Buffer.byteLength(options.body);
    }
    return headers;
}
