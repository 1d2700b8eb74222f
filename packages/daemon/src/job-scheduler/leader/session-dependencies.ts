import type { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";

import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { Clock } from "../../clock/clock.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { TargetClient } from "../targets/target-client.js";
import type { Leadership } from "./leadership.js";
import type { TargetReportHandler } from "./target-report-handler.js";

/** What the session of a target needs. */
export interface SessionDependencies {
    readonly leadership: Pick<Leadership, "isActive" | "readFleet" | "readStartedAt" | "recordCommand">;
    readonly client: TargetClient;
    readonly reports: Pick<TargetReportHandler, "findReport">;
    readonly clock: Clock;
    readonly log: Pick<DecisionLog, "record">;
    /** Longest lease that a target grants, milliseconds. */
    readonly maxLeaseMs: number;
    /**
     * Tells whether the platform says that the life of a target is over.
     * @param target - the target life
     * @param since - monotonic milliseconds; only what the platform has said since then counts
     */
    readonly isTargetGone: (target: TargetRecord, since: number) => boolean;
    /** Called when a target has left an order unanswered: others near it may be out of reach for the same cause. */
    readonly handleUnansweredRequest: (target: TargetRecord) => void;
    /** Whether a target may be left out as slow; false where many of its pool are already. */
    readonly mayEjectSlow: (target: TargetRecord) => boolean;
    /** Guesses how long a task takes on a sound target, milliseconds; `undefined` when that can't be compared. */
    readonly estimateTask: (task: string) => number | undefined;
    /** Finds the ticket that a start must carry; empty for none. */
    readonly findTicket: (task: string, target: string) => string;
    /** Called when a target did not take the ticket of a start. */
    readonly handleRejectedTicket: (task: string, target: string) => void;
    /** Called when there may be something to start. */
    readonly startScheduling: () => void;
    /** Called with each end: the encoded task key, how the run ended and after how many milliseconds, where that is known. */
    readonly handleRunEnd: (task: string, how: RunOutcome, durationMs: number | undefined) => void;
}
