import type { TargetRequestResult } from "./target-request-result.js";

/** A target's response to a request. */
export interface TargetResponse {
    readonly result: TargetRequestResult;
    /** Reading of the target's monotonic clock, milliseconds; `undefined` if the target reported none. */
    readonly clockMs: number | undefined;
    /** Start of the incarnation that has responded, milliseconds since 1970; `undefined` if the response does not name it. */
    readonly incarnation?: number | undefined;
    /** Whether a copy of the request may still be executed, which a relay has not given up. */
    readonly mayRepeat?: boolean;
}
