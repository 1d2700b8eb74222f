import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

/** Headers that belong to one connection or are handled by the entry itself, and are not forwarded. */
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

/** Source data of the headers of a request to a target. */
interface TargetHeaderSource {
    readonly headers: IncomingHttpHeaders;
    readonly address: string;
    readonly requestId: string;
    readonly dispatchId: string;
    readonly team: string;
    /** Length of the body in bytes; `undefined` for a chunked body. */
    readonly bodyBytes: number | undefined;
    readonly hasBody: boolean;
}

/**
 * Builds the headers of a request to a target. The caller's key is not forwarded.
 * @param source - the caller's headers and the values that the entry adds
 * @returns the headers
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
