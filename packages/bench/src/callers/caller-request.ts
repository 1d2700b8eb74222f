import type { Agent } from "node:http";

/** A caller's request. */
export interface CallerRequest {
    /** Caller listener of an entry. */
    readonly entry: string;
    readonly route: string;
    readonly key?: string | undefined;
    readonly requestId?: string | undefined;
    readonly isUnrepeatable?: boolean | undefined;
    readonly isUrgent?: boolean | undefined;
    readonly deadlineMs?: number | undefined;
    readonly path?: string | undefined;
    readonly body?: string | undefined;
    readonly agent?: Agent | undefined;
}
