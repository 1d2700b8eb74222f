import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import { RequestOutcome } from "@daisylock/protocol/http/request-outcome.js";
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

const strippedResponseHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    HeaderName.DispatchId,
    HeaderName.RequestId,
    HeaderName.Outcome,
]);

/**
 * Builds the header of an answer from that of the target.
 * @param headers - header of the target's answer
 * @param requestId - the caller's request id
 * @returns the header
 */
export function buildResponseHeaders(headers: IncomingHttpHeaders, requestId: string): OutgoingHttpHeaders {
    const answer: OutgoingHttpHeaders = {};
    for (const name in headers) {
        if (!strippedResponseHeaders.has(name)) {
            answer[name] = headers[name];
        }
    }
    answer[HeaderName.RequestId] = requestId;
    answer[HeaderName.Outcome] = RequestOutcome.Answer;
    return answer;
}
