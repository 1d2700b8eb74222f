import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import { RequestOutcome } from "@daisylock/protocol/http/request-outcome.js";
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

/** Headers that belong to one connection or are handled by the entry itself, and are not forwarded. */
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
 * Builds the headers of the response to the caller.
 * @param headers - headers of the target's response
 * @param requestId - the caller's request id
 * @returns the headers
 */
export function buildResponseHeaders(headers: IncomingHttpHeaders, requestId: string): OutgoingHttpHeaders {
    const forwarded: OutgoingHttpHeaders = {};
    for (const name in headers) {
        if (!strippedResponseHeaders.has(name)) {
            forwarded[name] = headers[name];
        }
    }
    forwarded[HeaderName.RequestId] = requestId;
    forwarded[HeaderName.Outcome] = RequestOutcome.Answer;
    return forwarded;
}
