import type { Outcome } from "@daisylock/protocol/http/outcome.js";

/** What a caller got. */
export interface CallerAnswer {
    readonly status: number;
    /** `undefined` when the transfer failed. */
    readonly outcome: Outcome | undefined;
    readonly body: string;
    readonly retryAfterSeconds: number | undefined;
}
