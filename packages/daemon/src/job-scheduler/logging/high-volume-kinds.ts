import { DecisionKind } from "./decision-kind.js";

/** Kinds of which there is a line for each call, job, task or heartbeat, so that their number grows with the load. */
export const highVolumeKinds: ReadonlySet<DecisionKind> = new Set([
    DecisionKind.ReportRefused,
    DecisionKind.JobAccepted,
    DecisionKind.JobRefused,
    DecisionKind.JobCancelled,
    DecisionKind.JobEnded,
    DecisionKind.KeyRefused,
    DecisionKind.CallUnanswered,
    DecisionKind.CallRefused,
    DecisionKind.TaskPlaced,
    DecisionKind.TaskStarted,
    DecisionKind.TaskEnded,
    DecisionKind.AdviceAnswered,
    DecisionKind.OrderFailed,
    DecisionKind.RelayFailed,
    DecisionKind.WorkFailed,
    DecisionKind.RunsUnrecorded,
    DecisionKind.PaceChanged,
]);
