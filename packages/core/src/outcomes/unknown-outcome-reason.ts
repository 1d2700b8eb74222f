/** Why it is unknown whether a request ran. */
export enum UnknownOutcomeReason {
    /** The target did not respond before the deadline. */
    DeadlineExceeded = "deadline-exceeded",
    /** The connection to the target closed before the response was complete. */
    ConnectionLost = "connection-lost",
    /** The target responded with an error, and no retry on another target got a response. */
    TargetError = "target-error",
    /** A chunked request body exceeded the size limit while it was being sent to the target. */
    BodyTooLarge = "body-too-large",
    /** The target's response belongs to a different request. */
    ForeignAnswer = "foreign-answer",
    /** The connection is half-open: it is open here, but the target reports that it is not running the request. */
    ConnectionSilent = "connection-silent",
    /** The request was sent before with the same id, and its outcome is not recorded. */
    EarlierAttempt = "earlier-attempt",
    /** The request ran, but its response was too large to be stored for repeated requests. */
    AnswerNotKept = "answer-not-kept",
    /** It could not be checked whether an unrepeatable request with the same id ran before. */
    RecordUnreachable = "record-unreachable",
}
