import { RefusalReason } from "@daisylock/core/outcomes/refusal-reason.js";

import type { ProblemDefinition } from "./problem-definition.js";

/** HTTP status, retry rule and title for each reason of a refusal. */
export const refusalProblems: Readonly<Record<RefusalReason, ProblemDefinition>> = {
    [RefusalReason.NotAuthorized]: { status: 401, mayRetry: false, title: "The key does not allow this request." },
    [RefusalReason.MalformedRequest]: { status: 400, mayRetry: false, title: "The request is malformed." },
    [RefusalReason.BodyTooLarge]: { status: 413, mayRetry: false, title: "The body is too large." },
    [RefusalReason.PoolUnknown]: { status: 503, mayRetry: true, title: "The pool of the route does not exist." },
    [RefusalReason.NoTarget]: { status: 503, mayRetry: true, title: "No target of the pool can be reached." },
    [RefusalReason.Overloaded]: { status: 429, mayRetry: true, title: "The request could not start in time." },
    [RefusalReason.QueueTimeout]: { status: 503, mayRetry: true, title: "The request did not start in time." },
    [RefusalReason.KeysNotFresh]: { status: 503, mayRetry: true, title: "Keys can't be checked here at present." },
    [RefusalReason.NotRecordable]: {
        status: 503,
        mayRetry: true,
        title: "Unrepeatable requests can't be recorded here at present.",
    },
    [RefusalReason.RequestIdReused]: {
        status: 409,
        mayRetry: false,
        title: "The request id belongs to another request.",
    },
    [RefusalReason.AttemptsFailed]: { status: 503, mayRetry: true, title: "No target accepted the request." },
    [RefusalReason.Cancelled]: {
        status: 499,
        mayRetry: true,
        title: "The caller went away before the request started.",
    },
};
