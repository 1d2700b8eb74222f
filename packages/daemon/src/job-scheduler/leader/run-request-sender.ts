import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { findTask } from "@daisylock/core/jobs/find-task.js";
import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import type { TaskEnd } from "@daisylock/core/jobs/task-end.js";
import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import { DecisionKind } from "../logging/decision-kind.js";
import { TargetRequestResult } from "../targets/target-request-result.js";
import type { TargetResponse } from "../targets/target-response.js";
import type { RunRequestState } from "./run-request-state.js";
import type { RunRequestTracker } from "./run-request-tracker.js";
import type { SessionDependencies } from "./session-dependencies.js";

/** Pause after a failed order. */
const retryDelayMs = 120;
/** Time for which nothing is started on a target that refused a start. */
const refusalBackoffMs = 300;

const refusalResults: ReadonlySet<TargetRequestResult> = new Set([
    TargetRequestResult.NoRoom,
    TargetRequestResult.Unhealthy,
    TargetRequestResult.NoTicket,
    TargetRequestResult.Invalid,
]);

/** What orders need of the session of their target. */
interface SessionCallbacks {
    readonly isClosed: () => boolean;
    /** Whether the target does not answer. */
    readonly isUnreachable: () => boolean;
    /** Whether a run is recorded here and this process may order it. */
    readonly isRunAssigned: (task: string, run: number) => boolean;
    readonly readRecord: () => TargetRecord;
    /** Computes the end of a lease that is granted now, on the target's clock; `undefined` while that is not known. */
    readonly computeLeaseEnd: () => number | undefined;
    readonly noteResponse: (answer: TargetResponse, leaseUntilMs?: number) => void;
    /** Starts nothing here for some milliseconds. */
    readonly setStartBackoff: (forMs: number) => void;
    /** Records ends; false when they may not have been recorded. */
    readonly recordRunEnds: (ends: readonly Omit<TaskEnd, "target">[]) => Promise<boolean>;
    readonly removeTarget: (reason: string) => Promise<void>;
    /** Lets the session look at the target's lists again. */
    readonly startRenewal: () => void;
}

/**
 * Carries out recorded starts and stops on one target, one order for a run at a time. A start that got no answer is given
 * again with the same number; before it counts as rejected it is stopped, so that it can't begin afterwards.
 */
export class RunRequestSender {
    /**
     * @param token - fencing token of this leadership
     * @param requests - what is known of each order
     * @param session - the session of the target
     * @param dependencies - what the session needs
     */
    constructor(
        private readonly token: number,
        private readonly requests: RunRequestTracker,
        private readonly session: SessionCallbacks,
        private readonly dependencies: SessionDependencies,
    ) {}

    /**
     * Carries out a recorded start.
     * @param task - encoded task key
     * @param run - number of the run
     */
    startTask(task: string, run: number): void {
        const order = this.requests.findOrCreate(task, run);
        void this.runExclusively(order, () => this.sendStartUntilSettled(task, order));
        this.session.startRenewal();
    }

    /**
     * Stops a run that may be here.
     * @param task - encoded task key
     * @param run - number of the run
     */
    stopTask(task: string, run: number): void {
        const order = this.requests.findOrCreate(task, run);
        order.isStopRequested = true;
        if (!order.isStopConfirmed) {
            void this.runExclusively(order, () => this.sendStopUntilConfirmed(task, order));
        }
        this.session.startRenewal();
    }

    /**
     * Tells whether a run is being stopped.
     * @param task - encoded task key
     * @param run - number of the run
     * @returns true from the wish on
     */
    isStopping(task: string, run: number): boolean {
        return this.requests.find(task, run)?.isStopRequested === true;
    }

    private async sendStartUntilSettled(task: string, order: RunRequestState): Promise<void> {
        while (this.session.isRunAssigned(task, order.run)) {
            if (order.isStopRequested || this.session.readRecord().state !== ReportedTargetState.Ready) {
                await this.sendStopUntilConfirmed(task, order);
                return;
            }
            if (this.session.isUnreachable()) {
                if (!order.isStartSent && await this.recordRejection(task, order)) {
                    return;
                }
                await this.waitDelay(retryDelayMs);
                continue;
            }
            const answer = await this.sendStartOnce(task, order);
            if (answer === undefined || await this.handleStartResponse(task, order, answer)) {
                return;
            }
            await this.waitDelay(retryDelayMs);
        }
    }

    private async sendStartOnce(task: string, order: RunRequestState): Promise<TargetResponse | undefined> {
        const { leadership, client } = this.dependencies;
        const key = decodeTaskKey(task);
        const job = key === undefined ? undefined : leadership.readFleet().jobs.get(key.job);
        const record = key === undefined || job === undefined ? undefined : findTask(job, key);
        const leaseUntilMs = this.session.computeLeaseEnd();
        if (job === undefined || record === undefined) {
            return undefined;
        }
        if (leaseUntilMs === undefined) {
            return { result: TargetRequestResult.NotSent, clockMs: undefined };
        }
        order.isStartSent = true;
        const answer = await client.startTask(this.session.readRecord(), {
            task,
            run: order.run,
            spec: job.spec,
            leaseUntilMs,
            fencingToken: this.token,
            saved: record.saved,
            ticket: this.dependencies.findTicket(task, this.session.readRecord().id),
        });
        this.session.noteResponse(answer, leaseUntilMs);
        return answer;
    }

    /** Returns whether the start needs no further attempt. */
    private async handleStartResponse(task: string, order: RunRequestState, answer: TargetResponse): Promise<boolean> {
        const { log } = this.dependencies;
        if (answer.result === TargetRequestResult.Done || answer.result === TargetRequestResult.AlreadyEnded) {
            order.confirmedAt = this.readNow();
            order.isStartUnanswered = false;
            log.record(DecisionKind.TaskStarted, {
                task,
                run: order.run,
                target: this.session.readRecord().id,
                tookMs: Math.round(this.readNow() - order.createdAt),
            });
            return true;
        }
        log.record(DecisionKind.OrderFailed, {
            order: "start",
            task,
            run: order.run,
            target: this.session.readRecord().id,
            result: answer.result,
            uncertain: order.isStartUnanswered,
        });
        if (answer.result === TargetRequestResult.WrongTarget) {
            await this.session.removeTarget("another target answers at its address");
            return true;
        }
        if (answer.result === TargetRequestResult.Unanswered) {
            order.isStartUnanswered = true;
            this.session.setStartBackoff(refusalBackoffMs);
            this.dependencies.handleUnansweredRequest(this.session.readRecord());
            return false;
        }
        if (answer.result === TargetRequestResult.NoTicket) {
            this.dependencies.handleRejectedTicket(task, this.session.readRecord().id);
        }
        if (answer.result === TargetRequestResult.NotSent) {
            this.dependencies.handleUnansweredRequest(this.session.readRecord());
        }
        if (refusalResults.has(answer.result) || answer.result === TargetRequestResult.NotSent) {
            this.session.setStartBackoff(refusalBackoffMs);
            return this.recordRejection(task, order);
        }
        return false;
    }

    /** A start that may be under way still is stopped first, so that it can't begin after it counts as rejected. */
    private async recordRejection(task: string, order: RunRequestState): Promise<boolean> {
        if (order.isStartUnanswered) {
            order.isStopRequested = true;
            return false;
        }
        return this.session.recordRunEnds([{ task, run: order.run, how: RunOutcome.Rejected, saved: "" }]);
    }

    private async sendStopUntilConfirmed(task: string, order: RunRequestState): Promise<void> {
        while (!order.isStopConfirmed && !this.session.isClosed() && this.dependencies.leadership.isActive()) {
            const answer = await this.dependencies.client.stopTask(this.session.readRecord(), {
                task,
                run: order.run,
                fencingToken: this.token,
            });
            this.session.noteResponse(answer);
            if (answer.result === TargetRequestResult.Done || answer.result === TargetRequestResult.AlreadyEnded) {
                order.isStopConfirmed = true;
                order.confirmedAt = this.readNow();
                this.session.startRenewal();
                return;
            }
            if (!this.session.isRunAssigned(task, order.run) && answer.result !== TargetRequestResult.Unanswered) {
                return;
            }
            await this.waitDelay(retryDelayMs);
        }
    }

    /** One order for a run at a time. */
    private async runExclusively(order: RunRequestState, send: () => Promise<void>): Promise<void> {
        if (order.isInFlight) {
            return;
        }
        order.isInFlight = true;
        try {
            await send();
        }
        finally {
            order.isInFlight = false;
        }
    }

    private readNow(): number {
        return this.dependencies.clock.readMonotonic();
    }

    private waitDelay(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            this.dependencies.clock.schedule(delayMs, resolve);
        });
    }
}
