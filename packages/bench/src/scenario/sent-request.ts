import type { CallerResponse } from "../callers/caller-response.js";
import type { PlannedRequest } from "./planned-request.js";

/** A request with what became of it. */
export interface SentRequest {
    readonly plan: PlannedRequest;
    readonly response: CallerResponse;
    /** Time from the planned start to the answer, milliseconds. */
    readonly latencyMs: number;
}
