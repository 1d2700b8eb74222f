import type { IncomingHttpHeaders } from "node:http";

/** A request on a route, parsed but not yet authorized. */
export interface CallerRequest {
    readonly id: string;
    readonly route: string;
    /** Path and query for the target. */
    readonly path: string;
    readonly method: string;
    readonly headers: IncomingHttpHeaders;
    readonly key: string | undefined;
    readonly isUnrepeatable: boolean;
    readonly isUrgent: boolean;
    /** Monotonic milliseconds by which the caller wants the answer. */
    readonly deadlineAt: number;
    /** Declared length of the body in bytes; `undefined` when it is sent in chunks. */
    readonly bodyBytes: number | undefined;
}
