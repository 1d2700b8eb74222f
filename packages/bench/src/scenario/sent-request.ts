import type { CallerAnswer } from "../callers/caller-answer.js";
import type { PlannedRequest } from "./planned-request.js";

/** A request with what became of it. */
export interface SentRequest {
    readonly plan: PlannedRequest;
    readonly answer: CallerAnswer;
    /** Time from the planned start to the answer, milliseconds. */
    readonly latencyMs: number;
}
