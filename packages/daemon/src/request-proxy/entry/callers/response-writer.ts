import type { Refusal } from "@daisylock/core/admission/refusal.js";
import type { RecordedResponse } from "@daisylock/core/control/recorded-response.js";
import type { UnknownOutcomeReason } from "@daisylock/core/outcomes/unknown-outcome-reason.js";
import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import type { ProblemDefinition } from "@daisylock/protocol/http/problem-definition.js";
import type { Problem } from "@daisylock/protocol/http/problem.js";
import { refusalProblems } from "@daisylock/protocol/http/refusal-problems.js";
import { RequestOutcome } from "@daisylock/protocol/http/request-outcome.js";
import { unknownOutcomeProblems } from "@daisylock/protocol/http/unknown-outcome-problems.js";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";

/** Writes responses other than those of targets: refusals, unknown outcomes and recorded responses. */
export class ResponseWriter {
    /**
     * @param response - the caller's response
     * @param requestId - id of the request
     */
    constructor(private readonly response: ServerResponse, private readonly requestId: string) {}

    /**
     * Writes a refusal of a request that was not run.
     * @param refusal - the refusal
     */
    writeRefusal(refusal: Refusal): void {
        this.writeProblem(refusal.reason, refusalProblems[refusal.reason], RequestOutcome.NotRun, refusal.retryAfterMs);
    }

    /**
     * Writes that it is unknown whether the request ran.
     * @param reason - why the outcome is unknown
     * @param retryAfterMs - delay before a retry with the same id; `undefined` when a retry cannot help
     */
    writeUnknown(reason: UnknownOutcomeReason, retryAfterMs?: number): void {
        this.writeProblem(reason, unknownOutcomeProblems[reason], RequestOutcome.OutcomeUnknown, retryAfterMs);
    }

    /**
     * Writes the response that was recorded when the request ran before.
     * @param recorded - the recorded response
     */
    writeRecorded(recorded: RecordedResponse): void {
        const body = Buffer.from(recorded.body ?? "", "base64");
        this.write(recorded.status, { "content-type": recorded.contentType }, RequestOutcome.Answer, body);
    }

    private writeProblem(
        reason: string,
        definition: ProblemDefinition,
        outcome: RequestOutcome,
        retryAfterMs?: number,
    ): void {
        const problem: Problem = {
            type: `urn:daisylock:${reason}`,
            title: definition.title,
            status: definition.status,
            outcome,
            requestId: this.requestId,
        };
        const headers: OutgoingHttpHeaders = { "content-type": "application/problem+json" };
        if (retryAfterMs !== undefined) {
            headers["retry-after"] = String(Math.max(1, Math.ceil(retryAfterMs / 1_000)));
        }
        this.write(definition.status, headers, outcome, Buffer.from(JSON.stringify(problem)));
    }

    private write(status: number, headers: OutgoingHttpHeaders, outcome: RequestOutcome, body: Buffer): void {
        if (this.response.headersSent || this.response.destroyed) {
            return;
        }
        this.response.writeHead(status, {
            ...headers,
            "content-length": body.length,
            [HeaderName.RequestId]: this.requestId,
            [HeaderName.Outcome]: outcome,
        });
        this.response.end(body);
    }
}
