import type { RequestOutcome } from "@daisylock/protocol/http/request-outcome.js";

/** Response that a caller receives. */
export interface CallerResponse {
    /** HTTP status; 0 when the connection failed before the response was complete. */
    readonly status: number;
    /** `undefined` when the connection failed or the response has no outcome header. */
    readonly outcome: RequestOutcome | undefined;
    readonly body: string;
    /** Value of the `Retry-After` header; `undefined` when absent. */
    readonly retryAfterSeconds: number | undefined;
}
