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

/** Writes the answers that are not a target's. */
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
     * Writes that the outcome is not known.
     * @param reason - why
     * @param retryAfterMs - when asking again with the same id may help
     */
    writeUnknown(reason: UnknownOutcomeReason, retryAfterMs?: number): void {
        this.writeProblem(reason, unknownOutcomeProblems[reason], RequestOutcome.OutcomeUnknown, retryAfterMs);
    }

    /**
     * Writes an answer that was recorded when the request ran.
     * @param answer - the answer
     */
    writeRecorded(answer: RecordedResponse): void {
        const body = Buffer.from(answer.body ?? "", "base64");
        this.write(answer.status, { "content-type": answer.contentType }, RequestOutcome.Answer, body);
    }

    private writeProblem(
        reason: string,
        rule: ProblemDefinition,
        outcome: RequestOutcome,
        retryAfterMs?: number,
    ): void {
        const problem: Problem = {
            type: `urn:daisylock:${reason}`,
            title: rule.title,
            status: rule.status,
            outcome,
            requestId: this.requestId,
        };
        const headers: OutgoingHttpHeaders = { "content-type": "application/problem+json" };
        if (retryAfterMs !== undefined) {
            headers["retry-after"] = String(Math.max(1, Math.ceil(retryAfterMs / 1_000)));
        }
        this.write(rule.status, headers, outcome, Buffer.from(JSON.stringify(problem)));
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
