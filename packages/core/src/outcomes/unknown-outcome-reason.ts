/** Why it can't be told whether a request ran. */
export enum UnknownOutcomeReason {
    /** The target did not answer before the deadline. */
    DeadlineExceeded = "deadline-exceeded",
    /** The connection to the target ended before its whole answer. */
    ConnectionLost = "connection-lost",
    /** The target answered with an error, and no other target answered. */
    TargetError = "target-error",
    /** A body sent in chunks grew beyond the limit while the target was receiving it. */
    BodyTooLarge = "body-too-large",
    /** The answer of the target belonged to another request. */
    ForeignAnswer = "foreign-answer",
    /** The target reports that it does not run the request although the connection is open. */
    ConnectionSilent = "connection-silent",
    /** The request was sent before under the same id and its outcome is not recorded. */
    EarlierAttempt = "earlier-attempt",
    /** The request was run; its answer was too large to keep for a caller who asks again. */
    AnswerNotKept = "answer-not-kept",
    /** Whether the request was sent before under the same id can't be checked here at present. */
    RecordUnreachable = "record-unreachable",
}
