import type { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";

import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import type { UnrecordedRuns } from "@daisylock/core/targets/unrecorded-runs.js";

import type { Clock } from "../../clock/clock.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { TargetClient } from "../targets/target-client.js";
import type { Leadership } from "./leadership.js";
import type { MeasureWork } from "./measure-work.js";
import type { ProbeBudget } from "./probe-budget.js";
import type { RunEndRecorder } from "./run-end-recorder.js";
import type { StalledTaskRegistry } from "./stalled-task-registry.js";
import type { TargetEnding } from "./target-ending.js";
import type { TargetReportHandler } from "./target-report-handler.js";

/** Dependencies of a target session. */
export interface SessionDependencies {
    readonly leadership: Pick<Leadership, "isActive" | "readFleet" | "readStartedAt" | "recordCommand">;
    /** Commits ends of runs together with those of other targets. */
    readonly endRecorder: Pick<RunEndRecorder, "recordEnds">;
    readonly client: TargetClient;
    readonly reports: Pick<TargetReportHandler, "findReport">;
    /** Budget of all sessions for probes of targets that show no sign of life. */
    readonly probeBudget: Pick<ProbeBudget, "takeProbe">;
    /** Runs that targets list and that were released, of all sessions. */
    readonly unrecordedRuns: UnrecordedRuns;
    readonly clock: Clock;
    /** Reads for which share of the time the event loop of this process is busy, 0 to 1. */
    readonly readUtilization: () => number;
    /** Runs work and records its time. */
    readonly measure: MeasureWork;
    /** Called when ends of runs were recorded, with their number and the time that the command took, milliseconds. */
    readonly noteEnds: (count: number, durationMs: number) => void;
    readonly log: Pick<DecisionLog, "record">;
    /** Longest lease that a target accepts, milliseconds. */
    readonly maxLeaseMs: number;
    /**
     * Finds out by the VM service how a target incarnation has ended.
     * @param target - the target incarnation
     * @param since - monotonic milliseconds; only lists of VMs requested after this time count
     * @returns `undefined` when it has not ended, or that is not known
     */
    readonly findTargetEnding: (target: TargetRecord, since: number) => TargetEnding | undefined;
    /** Called when a target left a request unanswered: other targets of its zone may be affected too. */
    readonly handleUnansweredRequest: (target: TargetRecord) => void;
    /** Tasks that have stalled, on whichever target. */
    readonly stalledTasks: Pick<StalledTaskRegistry, "noteStall">;
    /** Whether a target may be ejected as slow; false while many targets of its pool are ejected. */
    readonly mayEjectSlow: (target: TargetRecord) => boolean;
    /**
     * Estimates the duration of a task on a healthy target, milliseconds; `undefined` while too few runs have been
     * measured, or when durations differ between healthy targets.
     */
    readonly estimateTask: (task: string) => number | undefined;
    /** Finds the ticket that a start must carry; empty when there is none. */
    readonly findTicket: (task: string, target: string) => string;
    /** Called when a target rejected the ticket of a start. */
    readonly handleRejectedTicket: (task: string, target: string) => void;
    /** Called when tasks may be ready to start. */
    readonly startScheduling: () => void;
    /** Called when a target has confirmed that a run of a task has begun. */
    readonly noteRunBegun: (task: string) => void;
    /** Called for each ended run with the encoded task key, the outcome and the duration in milliseconds, if known. */
    readonly handleRunEnd: (task: string, how: RunOutcome, durationMs: number | undefined) => void;
}
