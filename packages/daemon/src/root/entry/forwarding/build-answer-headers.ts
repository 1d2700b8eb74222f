import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import { Outcome } from "@daisylock/protocol/http/outcome.js";
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

const ownFields: ReadonlySet<string> = new Set([
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
export function buildAnswerHeaders(headers: IncomingHttpHeaders, requestId: string): OutgoingHttpHeaders {
    const answer: OutgoingHttpHeaders = {};
    for (const name in headers) {
        if (!ownFields.has(name)) {
            answer[name] = headers[name];
        }
    }
    answer[HeaderName.RequestId] = requestId;
    answer[HeaderName.Outcome] = Outcome.Answer;
    return answer;
}
