import type { IncomingHttpHeaders } from "node:http";

/** A request on a route, parsed but not yet authorized. */
export interface CallerRequest {
    readonly id: string;
    readonly route: string;
    /** Path and query to send to the target. */
    readonly path: string;
    readonly method: string;
    readonly headers: IncomingHttpHeaders;
    /** Bearer token; `undefined` when missing or malformed. */
    readonly key: string | undefined;
    /** Whether the request must not run more than once. */
    readonly isUnrepeatable: boolean;
    readonly isUrgent: boolean;
    /** Deadline for the response, monotonic milliseconds. */
    readonly deadlineAt: number;
    /** Declared length of the body in bytes; `undefined` for a chunked body. */
    readonly bodyBytes: number | undefined;
}
