import type { RequestOutcome } from "./request-outcome.js";

/** Problem details (RFC 9457): body of a response that does not come from the target. */
export interface Problem {
    /** Stable identifier of the reason. */
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly outcome: RequestOutcome;
    readonly requestId: string;
}
