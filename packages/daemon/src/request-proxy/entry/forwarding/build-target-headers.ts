import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

/** Fields that belong to one connection or to this system, and are not passed on. */
const strippedRequestHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "authorization",
    "content-length",
    HeaderName.DispatchId,
    HeaderName.Team,
    HeaderName.NotRun,
    HeaderName.Outcome,
]);

/** What the header of a request to a target is built from. */
interface TargetHeaderSource {
    readonly headers: IncomingHttpHeaders;
    readonly address: string;
    readonly requestId: string;
    readonly dispatchId: string;
    readonly team: string;
    /** Length of the body in bytes; `undefined` to send it in chunks. */
    readonly bodyBytes: number | undefined;
    readonly hasBody: boolean;
}

/**
 * Builds the header of a request to a target. The caller's key is not passed on.
 * @param source - the caller's header and what this system adds
 * @returns the header
 */
export function buildTargetHeaders(source: TargetHeaderSource): OutgoingHttpHeaders {
    const headers: OutgoingHttpHeaders = { host: source.address };
    for (const name in source.headers) {
        if (!strippedRequestHeaders.has(name)) {
            headers[name] = source.headers[name];
        }
    }
    headers[HeaderName.RequestId] = source.requestId;
    headers[HeaderName.DispatchId] = source.dispatchId;
    headers[HeaderName.Team] = source.team;
    if (source.hasBody && source.bodyBytes === undefined) {
        headers["transfer-encoding"] = "chunked";
    }
    else if (source.hasBody) {
        headers["content-length"] = source.bodyBytes;
    }
    return headers;
}
