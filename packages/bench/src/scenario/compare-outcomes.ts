import { RequestOutcome } from "@daisylock/protocol/http/request-outcome.js";

import type { TargetRun } from "../targets/target-run.js";
import type { SentRequest } from "./sent-request.js";

/** What callers were told against what targets ran. */
interface OutcomeCounts {
    readonly asked: number;
    readonly confirmed: number;
    readonly refused: number;
    readonly unknown: number;
    /** Transfers that failed visibly. */
    readonly broken: number;
    /** Answers of another request, or of none that was run. */
    readonly wrong: number;
    /** Requests refused as not run that were run. */
    readonly untrueRefusals: number;
    /** Unrepeatable requests that were run more than once. */
    readonly duplicates: number;
}

/**
 * Compares what callers were told with what targets ran.
 * @param sent - requests with their answers
 * @param runs - what targets ran
 * @returns the counts
 */
export function compareOutcomes(sent: readonly SentRequest[], runs: readonly TargetRun[]): OutcomeCounts {
    const runsById = new Map<string, number>();
    for (const run of runs) {
        runsById.set(run.requestId, (runsById.get(run.requestId) ?? 0) + 1);
    }
    const count = (check: (request: SentRequest) => boolean) => sent.filter(check).length;
    const isOutcome = (outcome: RequestOutcome) => (request: SentRequest) => request.response.outcome === outcome;
    const readRuns = (request: SentRequest) => runsById.get(request.plan.id) ?? 0;
    return {
        asked: sent.length,
        confirmed: count(request => isOutcome(RequestOutcome.Answer)(request) && request.response.status === 200),
        refused: count(isOutcome(RequestOutcome.NotRun)),
        unknown: count(isOutcome(RequestOutcome.OutcomeUnknown)),
        broken: count(request => request.response.outcome === undefined),
        wrong: count(request =>
            isOutcome(RequestOutcome.Answer)(request) && request.response.status === 200
            && (readRuns(request) === 0 || !isOwnResponse(request))
        ),
        untrueRefusals: count(request => isOutcome(RequestOutcome.NotRun)(request) && readRuns(request) > 0),
        duplicates: count(request => request.plan.isUnrepeatable && readRuns(request) > 1),
    };
}

function isOwnResponse({ plan, response: answer }: SentRequest): boolean {
    try {
        return (JSON.parse(answer.body) as { requestId: string }).requestId === plan.id;
    }
    catch {
        return false;
    }
}
