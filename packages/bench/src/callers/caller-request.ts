import type { Agent } from "node:http";

/** Request of a caller to an entry. */
export interface CallerRequest {
    /** Address of the entry's caller listener, as `host:port`. */
    readonly entry: string;
    readonly route: string;
    readonly key?: string | undefined;
    readonly requestId?: string | undefined;
    readonly isUnrepeatable?: boolean | undefined;
    readonly isUrgent?: boolean | undefined;
    readonly deadlineMs?: number | undefined;
    /** Path below the route; `/` when absent. */
    readonly path?: string | undefined;
    /** Sent with POST; without a body the method is GET. */
    readonly body?: string | undefined;
    readonly agent?: Agent | undefined;
}
