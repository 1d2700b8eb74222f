import type { RequestOutcome } from "./request-outcome.js";

/** Body of an answer that is not the target's (RFC 9457). */
export interface Problem {
    /** Reason, as a stable identifier. */
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly outcome: RequestOutcome;
    readonly requestId: string;
}
