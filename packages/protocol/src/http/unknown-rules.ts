import { UnknownReason } from "@daisylock/core/answers/unknown-reason.js";

import type { AnswerRule } from "./answer-rule.js";

/** HTTP status and retry rule of each answer that leaves the outcome open. */
export const unknownRules: Readonly<Record<UnknownReason, AnswerRule>> = {
    [UnknownReason.DeadlineExceeded]: { status: 504, mayRetry: false, title: "The target did not answer in time." },
    [UnknownReason.ConnectionLost]: {
        status: 502,
        mayRetry: false,
        title: "The connection to the target ended early.",
    },
    [UnknownReason.TargetError]: { status: 502, mayRetry: false, title: "The target answered with an error." },
    [UnknownReason.BodyTooLarge]: { status: 413, mayRetry: false, title: "The body grew beyond the limit." },
    [UnknownReason.ForeignAnswer]: { status: 502, mayRetry: false, title: "The target answered another request." },
    [UnknownReason.ConnectionSilent]: {
        status: 502,
        mayRetry: false,
        title: "The connection to the target went silent.",
    },
    [UnknownReason.EarlierAttempt]: {
        status: 409,
        mayRetry: true,
        title: "The request was sent before and its outcome is not recorded.",
    },
    [UnknownReason.AnswerNotKept]: {
        status: 409,
        mayRetry: false,
        title: "The request was run; its answer was too large to keep.",
    },
    [UnknownReason.RecordUnreachable]: {
        status: 503,
        mayRetry: true,
        title: "Whether the request was sent before can't be checked here at present.",
    },
};
