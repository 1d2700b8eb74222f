import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { findTask } from "@daisylock/core/jobs/find-task.js";
import { isJobFinished } from "@daisylock/core/jobs/is-job-finished.js";
import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import type { TaskEnd } from "@daisylock/core/jobs/task-end.js";
import type { EndAcknowledgements } from "@daisylock/core/targets/end-acknowledgements.js";
import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { FaultListener } from "../../containment/fault-listener.js";
import { runContained } from "../../containment/run-contained.js";
import { startContained } from "../../containment/start-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import { createFaultListener } from "../logging/create-fault-listener.js";
import { DecisionKind } from "../logging/decision-kind.js";
import { TargetRequestResult } from "../targets/target-request-result.js";
import type { TargetResponse } from "../targets/target-response.js";
import type { RunRequestState } from "./run-request-state.js";
import type { RunRequestTracker } from "./run-request-tracker.js";
import type { SessionDependencies } from "./session-dependencies.js";

/** Delay before a failed request is sent again, milliseconds. */
const retryDelayMs = 120;
/** Interval at which a request for a target that does not respond is considered again, milliseconds. */
const unreachableDelayMs = 250;
/** Interval at which a start that waits for the end of a run that is not recorded is considered again, milliseconds. */
const blockedDelayMs = 50;
/** Time for which no task is started on a target that refused a start or left one unanswered, milliseconds. */
const refusalBackoffMs = 300;
/** Time for which a run gets no request after a fault, milliseconds. */
const faultDelayMs = 1_000;

const refusalResults: ReadonlySet<TargetRequestResult> = new Set([
    TargetRequestResult.InsufficientCapacity,
    TargetRequestResult.Unhealthy,
    TargetRequestResult.NoTicket,
    TargetRequestResult.Invalid,
]);

/** Callbacks into the session of the target. */
interface SessionCallbacks {
    readonly isClosed: () => boolean;
    /** Whether the target does not respond. */
    readonly isUnreachable: () => boolean;
    /** Whether the recorded runs need more than the capacity, as it has shrunk since they were planned. */
    readonly isOverCapacity: () => boolean;
    /** Whether the run is committed to this target and the session is open. */
    readonly isRunAssigned: (task: string, run: number) => boolean;
    readonly readRecord: () => TargetRecord;
    /** Computes the end of a lease granted now, on the target's clock; `undefined` while that clock is not known. */
    readonly computeLeaseEnd: () => number | undefined;
    /** Reads the fencing token of the session. */
    readonly readToken: () => number;
    /** Acknowledgements of ends, none of which may be executed after a start that it does not mean. */
    readonly acknowledgements: EndAcknowledgements;
    /** Whether the lease of the target has to expire before anything is started there. */
    readonly isLapseAwaited: () => boolean;
    /** Takes a higher fencing token, so that the target refuses the requests of the session so far. */
    readonly takeNextToken: () => void;
    /** Waits until no acknowledgement is in flight. */
    readonly waitForAcknowledgement: () => Promise<void>;
    /** Records that a request in flight may extend the lease to this time on the target's clock. */
    readonly noteLease: (leaseUntilMs: number, sentAt: number) => void;
    /** Records the target's clock, if the response has it; returns false if that is the clock of another incarnation. */
    readonly noteClock: (response: TargetResponse, sentAt: number) => boolean;
    /** Prevents starts on this target for a time, milliseconds. */
    readonly setStartBackoff: (forMs: number) => void;
    /** Commits ended runs; returns false when they may not have been committed. */
    readonly recordRunEnds: (ends: readonly Omit<TaskEnd, "target">[]) => Promise<boolean>;
    readonly removeTarget: (reason: string, isStopped: boolean) => Promise<void>;
    /** Wakes the renewal loop, which fetches the target's lists of running tasks and ended runs. */
    readonly startRenewal: () => void;
    /** The same, with the running tasks also when runs have ended. */
    readonly startListing: () => void;
    /** Called when the target has confirmed the start of a suspect. */
    readonly checkProbation: () => void;
}

/**
 * Sends committed starts, and stops, to one target, one request per run at a time. A start without a response is sent
 * again with the same run number; before it counts as rejected, the run is stopped so that it cannot begin afterwards.
 * While the leader lease has lapsed, requests wait: until the session is closed, this leadership may become active again.
 */
export class RunRequestSender {
    private readonly noteFault: FaultListener;

    /**
     * @param requests - request state of each run
     * @param session - callbacks into the session of the target
     * @param dependencies - services and callbacks of the leader
     */
    constructor(
        private readonly requests: RunRequestTracker,
        private readonly session: SessionCallbacks,
        private readonly dependencies: SessionDependencies,
    ) {
        this.noteFault = createFaultListener(dependencies.log);
    }

    /**
     * Sends a committed start to the target.
     * @param task - encoded task key
     * @param run - run number
     */
    startTask(task: string, run: number): void {
        const request = this.requests.findOrCreate(task, run);
        this.startExclusively(task, request, () => this.sendStartUntilSettled(task, request));
        this.session.startRenewal();
    }

    /**
     * Stops a run that may be on the target.
     * @param task - encoded task key
     * @param run - run number
     */
    stopTask(task: string, run: number): void {
        const request = this.requests.findOrCreate(task, run);
        request.isStopRequested = true;
        if (!request.isStopConfirmed) {
            this.startExclusively(task, request, () => this.sendStopUntilConfirmed(task, request));
        }
        this.session.startRenewal();
    }

    /**
     * Tells whether a run is being stopped.
     * @param task - encoded task key
     * @param run - run number
     * @returns true once a stop has been requested
     */
    isStopping(task: string, run: number): boolean {
        return this.requests.find(task, run)?.isStopRequested === true;
    }

    private async sendStartUntilSettled(task: string, request: RunRequestState): Promise<void> {
        while (this.session.isRunAssigned(task, request.run)) {
            // Before the check of the leadership, as a lease that is computed after a suspension would be too long.
            const leaseUntilMs = this.session.computeLeaseEnd();
            if (!this.dependencies.leadership.isActive()) {
                await this.waitDelay(retryDelayMs);
                continue;
            }
            if (request.confirmedAt !== undefined && !request.isStopRequested) {
                return;
            }
            if (this.session.isOverCapacity() && !request.isStopRequested) {
                if (await this.recordRejection(task, request)) {
                    return;
                }
                await this.waitDelay(retryDelayMs);
                continue;
            }
            const isDraining = this.session.readRecord().state !== ReportedTargetState.Ready;
            if (request.isStopRequested || isDraining || this.isJobFinished(task)) {
                await this.sendStopUntilConfirmed(task, request);
                return;
            }
            if (this.session.isUnreachable()) {
                if (!request.isStartSent && await this.recordRejection(task, request)) {
                    return;
                }
                await this.waitDelay(unreachableDelayMs);
                continue;
            }
            if (this.session.isLapseAwaited()) {
                await this.waitDelay(unreachableDelayMs);
                continue;
            }
            if (this.isStartBlocked(task)) {
                await this.waitDelay(blockedDelayMs);
                continue;
            }
            if (!this.session.acknowledgements.isStartAllowed(this.readNow())) {
                await this.session.waitForAcknowledgement();
                continue;
            }
            const response = await this.sendStartOnce(task, request, leaseUntilMs);
            if (response === undefined || await this.handleStartResponse(task, request, response)) {
                return;
            }
            await this.waitDelay(retryDelayMs);
        }
    }

    /** Returns `undefined` when the job or the task no longer exists. */
    private async sendStartOnce(
        task: string,
        request: RunRequestState,
        leaseUntilMs: number | undefined,
    ): Promise<TargetResponse | undefined> {
        const { leadership, client } = this.dependencies;
        const key = decodeTaskKey(task);
        const job = key === undefined ? undefined : leadership.readFleet().jobs.get(key.job);
        const record = key === undefined || job === undefined ? undefined : findTask(job, key);
        if (job === undefined || record === undefined) {
            return undefined;
        }
        if (leaseUntilMs === undefined) {
            return { result: TargetRequestResult.NotSent, clockMs: undefined };
        }
        const { unansweredStartAt } = request;
        const sentAt = this.readNow();
        request.isStartSent = true;
        request.unansweredStartAt = sentAt;
        // Before the response, because a renewal may fail meanwhile and compute when the lease has expired.
        this.session.noteLease(leaseUntilMs, sentAt);
        const ticket = this.dependencies.findTicket(task, this.session.readRecord().id);
        const { acknowledgements } = this.session;
        if (acknowledgements.takeFence()) {
            this.session.takeNextToken();
        }
        acknowledgements.noteStartSent();
        const response = await client.startTask(this.session.readRecord(), {
            task,
            run: request.run,
            spec: job.spec,
            leaseUntilMs,
            fencingToken: this.session.readToken(),
            saved: record.saved,
            ticket,
        });
        const mayBeLate = response.result === TargetRequestResult.Unanswered || response.mayRepeat === true;
        const settledAt = this.readNow();
        acknowledgements.noteStartSettled(mayBeLate, settledAt);
        const verified = this.verifyIncarnation(response, sentAt);
        if (mayBeLate) {
            // After the time limit of a relay, another copy was sent.
            request.unansweredStartAt = settledAt;
            this.session.noteLease(leaseUntilMs, settledAt);
        }
        else if (verified.result !== TargetRequestResult.Unanswered) {
            request.unansweredStartAt = unansweredStartAt;
        }
        return verified;
    }

    /** Returns true when the start needs no further attempt. */
    private async handleStartResponse(
        task: string,
        request: RunRequestState,
        response: TargetResponse,
    ): Promise<boolean> {
        const { log } = this.dependencies;
        if (response.result === TargetRequestResult.Done || response.result === TargetRequestResult.AlreadyEnded) {
            request.confirmedAt = this.readNow();
            request.isStartUnanswered = false;
            if (response.result === TargetRequestResult.Done) {
                request.confirmedClockMs ??= response.clockMs;
                this.dependencies.noteRunBegun(task);
                if (this.dependencies.leadership.readFleet().suspectTasks.has(task)) {
                    this.session.checkProbation();
                }
            }
            log.record(DecisionKind.TaskStarted, {
                task,
                run: request.run,
                target: this.session.readRecord().id,
                tookMs: Math.round(this.readNow() - request.createdAt),
            });
            return !request.isStopRequested;
        }
        log.record(DecisionKind.OrderFailed, {
            order: "start",
            task,
            run: request.run,
            target: this.session.readRecord().id,
            result: response.result,
            uncertain: request.isStartUnanswered,
        });
        if (response.result === TargetRequestResult.WrongTarget) {
            await this.session.removeTarget("another target responds at its address", true);
            return true;
        }
        if (response.result === TargetRequestResult.Unanswered) {
            request.isStartUnanswered = true;
            this.session.startListing();
            this.session.setStartBackoff(refusalBackoffMs);
            this.dependencies.handleUnansweredRequest(this.session.readRecord());
            return false;
        }
        if (response.result === TargetRequestResult.NoTicket) {
            this.dependencies.handleRejectedTicket(task, this.session.readRecord().id);
        }
        if (response.result === TargetRequestResult.NotSent) {
            this.dependencies.handleUnansweredRequest(this.session.readRecord());
        }
        if (refusalResults.has(response.result) || response.result === TargetRequestResult.NotSent) {
            this.session.setStartBackoff(refusalBackoffMs);
            return this.recordRejection(task, request);
        }
        return false;
    }

    /**
     * Commits that the start was rejected, and returns whether that succeeded. If an earlier attempt may still arrive,
     * only requests a stop, so that the run cannot begin after it counts as rejected. A run that the target has
     * confirmed meanwhile is left alone.
     */
    private async recordRejection(task: string, request: RunRequestState): Promise<boolean> {
        if (request.confirmedAt !== undefined) {
            return true;
        }
        if (request.isStartUnanswered) {
            request.isStopRequested = true;
            return false;
        }
        return this.session.recordRunEnds([{ task, run: request.run, how: RunOutcome.Rejected, saved: "" }]);
    }

    private async sendStopUntilConfirmed(task: string, request: RunRequestState): Promise<void> {
        while (!request.isStopConfirmed && !this.session.isClosed()) {
            if (!this.dependencies.leadership.isActive()) {
                await this.waitDelay(retryDelayMs);
                continue;
            }
            if (this.session.isUnreachable()) {
                await this.waitDelay(unreachableDelayMs);
                continue;
            }
            const sentAt = this.readNow();
            const fencingToken = this.session.readToken();
            const response = this.verifyIncarnation(
                await this.dependencies.client.stopTask(this.session.readRecord(), {
                    task,
                    run: request.run,
                    fencingToken,
                }),
                sentAt,
            );
            if (response.result === TargetRequestResult.Done || response.result === TargetRequestResult.AlreadyEnded) {
                request.isStopConfirmed = true;
                request.confirmedAt = this.readNow();
                this.session.startListing();
                return;
            }
            // A start of this session with a higher token may have overtaken the stop.
            const isOvertaken = response.result === TargetRequestResult.Fenced
                && fencingToken < this.session.readToken();
            const isAnswered = response.result !== TargetRequestResult.Unanswered && !isOvertaken;
            if (isAnswered && !this.session.isRunAssigned(task, request.run)) {
                return;
            }
            await this.waitDelay(retryDelayMs);
        }
    }

    /** A request that another incarnation has executed has no response of the one that it was meant for. */
    private verifyIncarnation(response: TargetResponse, sentAt: number): TargetResponse {
        return this.session.noteClock(response, sentAt)
            ? response
            : { result: TargetRequestResult.Unanswered, clockMs: undefined };
    }

    /** Tells whether the job has completed, failed or been cancelled, for example while the leader lease had lapsed. */
    private isJobFinished(task: string): boolean {
        const key = decodeTaskKey(task);
        const job = key === undefined ? undefined : this.dependencies.leadership.readFleet().jobs.get(key.job);
        return job !== undefined && isJobFinished(job);
    }

    /** Tells whether a run that was released goes on, of the task or on the target. */
    private isStartBlocked(task: string): boolean {
        const { unrecordedRuns, leadership } = this.dependencies;
        const { targets } = leadership.readFleet();
        const now = this.readNow();
        return unrecordedRuns.isTargetBlocked(this.session.readRecord().id, targets, now)
            || unrecordedRuns.findBlocker(task, targets, now) !== undefined;
    }

    /** Sends at most one request for a run at a time. After a fault, the session's next renewals send it again. */
    private startExclusively(task: string, request: RunRequestState, send: () => Promise<void>): void {
        if (request.isInFlight) {
            return;
        }
        request.isInFlight = true;
        const work = { work: WorkKind.TargetRun, subject: task };
        startContained(this.noteFault, work, async () => {
            await runContained(this.noteFault, work, send, () => this.waitDelay(faultDelayMs));
            request.isInFlight = false;
        });
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
