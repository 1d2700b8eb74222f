import { UnknownOutcomeReason } from "@daisylock/core/outcomes/unknown-outcome-reason.js";

import type { ProblemDefinition } from "./problem-definition.js";

/** HTTP status, retry rule and title for each reason of an unknown outcome. */
export const unknownOutcomeProblems: Readonly<Record<UnknownOutcomeReason, ProblemDefinition>> = {
    [UnknownOutcomeReason.DeadlineExceeded]: {
        status: 504,
        mayRetry: false,
        title: "The target did not answer in time.",
    },
    [UnknownOutcomeReason.ConnectionLost]: {
        status: 502,
        mayRetry: false,
        title: "The connection to the target ended early.",
    },
    [UnknownOutcomeReason.TargetError]: { status: 502, mayRetry: false, title: "The target answered with an error." },
    [UnknownOutcomeReason.BodyTooLarge]: { status: 413, mayRetry: false, title: "The body grew beyond the limit." },
    [UnknownOutcomeReason.ForeignAnswer]: {
        status: 502,
        mayRetry: false,
        title: "The target answered another request.",
    },
    [UnknownOutcomeReason.ConnectionSilent]: {
        status: 502,
        mayRetry: false,
        title: "The connection to the target went silent.",
    },
    [UnknownOutcomeReason.EarlierAttempt]: {
        status: 409,
        mayRetry: true,
        title: "The request was sent before and its outcome is not recorded.",
    },
    [UnknownOutcomeReason.AnswerNotKept]: {
        status: 409,
        mayRetry: false,
        title: "The request was run; its answer was too large to keep.",
    },
    [UnknownOutcomeReason.RecordUnreachable]: {
        status: 503,
        mayRetry: true,
        title: "Whether the request was sent before can't be checked here at present.",
    },
};
