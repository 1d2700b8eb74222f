import type { RequestOutcome } from "@daisylock/protocol/http/request-outcome.js";

/** What a caller got. */
export interface CallerResponse {
    readonly status: number;
    /** `undefined` when the transfer failed. */
    readonly outcome: RequestOutcome | undefined;
    readonly body: string;
    readonly retryAfterSeconds: number | undefined;
}
