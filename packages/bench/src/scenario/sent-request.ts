import type { CallerResponse } from "../callers/caller-response.js";
import type { PlannedRequest } from "./planned-request.js";

/** A request that was sent, with its response. */
export interface SentRequest {
    readonly plan: PlannedRequest;
    readonly response: CallerResponse;
    /** Time from the planned send to the response, milliseconds. */
    readonly latencyMs: number;
}
