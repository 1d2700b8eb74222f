import { RequestOutcome } from "@daisylock/protocol/http/request-outcome.js";

import type { TargetRun } from "../targets/target-run.js";
import type { SentRequest } from "./sent-request.js";

/** Outcomes reported to callers, compared with the runs on targets. */
interface OutcomeCounts {
    /** Requests sent. */
    readonly asked: number;
    /** Requests that a target answered with status 200. */
    readonly confirmed: number;
    /** Requests reported as not run. */
    readonly refused: number;
    /** Requests whose outcome was reported as unknown. */
    readonly unknown: number;
    /** Requests without a reported outcome, because the connection failed or the response was truncated. */
    readonly broken: number;
    /** Responses with status 200 that belong to another request or to a request that no target ran. */
    readonly wrong: number;
    /** Requests reported as not run that a target ran. */
    readonly untrueRefusals: number;
    /** Unrepeatable requests that ran more than once. */
    readonly duplicates: number;
}

/**
 * Compares the outcomes reported to callers with the runs on targets.
 * @param sent - requests with their responses
 * @param runs - runs of requests on all targets
 * @returns number of requests by outcome and by violated guarantee
 */
export function compareOutcomes(sent: readonly SentRequest[], runs: readonly TargetRun[]): OutcomeCounts {
    const runCounts = new Map<string, number>();
    for (const run of runs) {
        runCounts.set(run.requestId, (runCounts.get(run.requestId) ?? 0) + 1);
    }
    const count = (predicate: (request: SentRequest) => boolean) => sent.filter(predicate).length;
    const isOutcome = (outcome: RequestOutcome) => (request: SentRequest) => request.response.outcome === outcome;
    const countRuns = (request: SentRequest) => runCounts.get(request.plan.id) ?? 0;
    return {
        asked: sent.length,
        confirmed: count(request => isOutcome(RequestOutcome.Answer)(request) && request.response.status === 200),
        refused: count(isOutcome(RequestOutcome.NotRun)),
        unknown: count(isOutcome(RequestOutcome.OutcomeUnknown)),
        broken: count(request => request.response.outcome === undefined),
        wrong: count(request =>
            isOutcome(RequestOutcome.Answer)(request) && request.response.status === 200
            && (countRuns(request) === 0 || !isOwnResponse(request))
        ),
        untrueRefusals: count(request => isOutcome(RequestOutcome.NotRun)(request) && countRuns(request) > 0),
        duplicates: count(request => request.plan.isUnrepeatable && countRuns(request) > 1),
    };
}

function isOwnResponse({ plan, response }: SentRequest): boolean {
    try {
        return (JSON.parse(response.body) as { requestId: string }).requestId === plan.id;
    }
    catch {
        return false;
    }
}
