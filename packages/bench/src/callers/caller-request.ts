import type { Agent } from "node:http";

/** Request of a caller to an entry. */
export interface CallerRequest {
    /** Address of the entry's caller listener, as `host:port`. */
    readonly entry: string;
    readonly route: string;
    /** Sent as a bearer token; without a key the request has no authorization header. */
    readonly key?: string | undefined;
    readonly requestId?: string | undefined;
    readonly isUnrepeatable?: boolean | undefined;
    readonly isUrgent?: boolean | undefined;
    /** Time that the caller allows for the response, milliseconds; the entry's default when absent. */
    readonly deadlineMs?: number | undefined;
    /** Path below the route; `/` when absent. */
    readonly path?: string | undefined;
    /** Body of a POST request; without a body the method is GET. */
    readonly body?: string | undefined;
    readonly agent?: Agent | undefined;
}
