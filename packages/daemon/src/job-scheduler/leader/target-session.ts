import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { TargetLoad } from "@daisylock/core/fleet/target-load.js";
import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import type { TaskEnd } from "@daisylock/core/jobs/task-end.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import { DecisionKind } from "../logging/decision-kind.js";
import type { LeaseRenewalResponse } from "../targets/lease-renewal-response.js";
import type { RunningTask } from "../targets/running-task.js";
import { TargetRequestResult } from "../targets/target-request-result.js";
import type { TargetResponse } from "../targets/target-response.js";
import { minClockRate } from "./min-clock-rate.js";
import { RunRequestSender } from "./run-request-sender.js";
import { RunRequestTracker } from "./run-request-tracker.js";
import type { SessionDependencies } from "./session-dependencies.js";
import { TargetClock } from "./target-clock.js";
import { TargetHealthMonitor } from "./target-health-monitor.js";

/** Share of the longest lease that is asked for; the rest is room for a late renewal to be granted in full. */
const requestedLeaseFraction = 0.75;
/** Longest wait of a renewal for an end. Three renewals may fail before a lease ends. */
const longPollTimeoutMs = 1_000;
/** Longest pause without work; a target that sends no heartbeats is then looked at. */
const idleIntervalMs = 500;
/** Silence of heartbeats after which an idle target is looked at. */
const reportTimeoutMs = 3_500;
/** Pause after a failed order. */
const retryDelayMs = 120;
/** Margin for the time between two readings of a clock. */
const leaseExpiryMarginMs = 50;
/** Time after which a target that answers nothing and sends nothing is forgotten. */
const removalTimeoutMs = 20_000;

/**
 * The leader's dealings with one life of a target: renews its lease, carries out recorded starts and stops, and records
 * ends before the target may forget them. Every order carries the fencing token of this leadership, so that once the
 * target has answered one, no order of an earlier leader can follow.
 */
export class TargetSession {
    /** What the target said that it runs, by encoded task key. */
    readonly running = new Map<string, RunningTask>();
    private readonly targetClock = new TargetClock();
    private readonly requests: RunRequestTracker;
    private readonly requestSender: RunRequestSender;
    private readonly wakeups = new Set<() => void>();
    private readonly healthMonitor: TargetHealthMonitor;
    private lastCommittedEnd = 0;
    private isSynced = false;
    private isClosed = false;
    private unreachableSince: number | undefined;
    /** Whether it is being checked that the target still answers; nothing starts there meanwhile. */
    private isBeingChecked = false;
    private startBackoffUntil = 0;

    /**
     * @param record - the target life
     * @param fencingToken - fencing token of this leadership
     * @param dependencies - what the session needs
     */
    constructor(
        readonly record: TargetRecord,
        private readonly fencingToken: number,
        private readonly dependencies: SessionDependencies,
    ) {
        this.requests = new RunRequestTracker(dependencies.clock);
        this.requestSender = new RunRequestSender(fencingToken, this.requests, {
            isClosed: () => this.isClosed,
            isUnreachable: () => this.unreachableSince !== undefined,
            isRunAssigned: (task, run) => this.isRunAssigned(task, run),
            readRecord: () => this.readRecord(),
            computeLeaseEnd: () => this.targetClock.computeLeaseEnd(this.readNow(), this.readLeaseMs()),
            noteResponse: (answer, leaseUntilMs) => {
                this.noteLease(leaseUntilMs, answer);
                this.noteClock(answer);
            },
            setStartBackoff: forMs => {
                this.startBackoffUntil = this.readNow() + forMs;
            },
            recordRunEnds: ends => this.recordRunEnds(ends),
            removeTarget: reason => this.removeTarget(reason),
            startRenewal: () => this.startRenewal(),
        }, dependencies);
        this.healthMonitor = new TargetHealthMonitor(record, dependencies);
        void this.runRenewals();
    }

    /** Ends the session; orders under way are not waited for. */
    close(): void {
        this.isClosed = true;
        this.startRenewal();
    }

    /**
     * Tells whether tasks may be started here.
     * @returns false while the target is not known to answer, or has just refused a start
     */
    isUsable(): boolean {
        const now = this.readNow();
        return this.isSynced && this.unreachableSince === undefined && !this.isBeingChecked
            && now >= this.startBackoffUntil
            && !this.isReportOverdue(now);
    }

    /**
     * Tells whether the target is left out because it is slow.
     * @returns true while its tasks take several times as long as expected
     */
    isSlow(): boolean {
        return this.healthMonitor.isSlow;
    }

    /**
     * Checks whether the target still answers, as soon as something speaks against it: a start that is given to a target
     * behind a cut holds its task until the lease there is over.
     */
    async checkReachable(): Promise<void> {
        if (this.isBeingChecked || this.unreachableSince !== undefined || this.isClosed) {
            return;
        }
        this.isBeingChecked = true;
        const { client } = this.dependencies;
        const answer = await client.checkReachable(this.readRecord(), {
            fencingToken: this.fencingToken,
            lastSeen: this.lastCommittedEnd,
        });
        this.isBeingChecked = false;
        this.noteClock(answer);
        if (answer.result === TargetRequestResult.Unanswered || answer.result === TargetRequestResult.NotSent) {
            this.noteUnreachable(answer.result);
        }
        else {
            this.dependencies.startScheduling();
        }
    }

    /**
     * Tells how many tasks may be started here now.
     * @returns 0 for none; no bound for a target in good standing
     */
    countStartsLeft(): number {
        return this.isUsable() ? this.healthMonitor.countStartsLeft(this.readLoad().runs.size) : 0;
    }

    /**
     * Carries out a recorded start.
     * @param task - encoded task key
     * @param run - number of the run
     */
    startTask(task: string, run: number): void {
        this.requestSender.startTask(task, run);
    }

    /**
     * Stops a run that may be here.
     * @param task - encoded task key
     * @param run - number of the run
     */
    stopTask(task: string, run: number): void {
        this.requestSender.stopTask(task, run);
    }

    /**
     * Tells whether a run is being stopped.
     * @param task - encoded task key
     * @param run - number of the run
     * @returns true from the wish on
     */
    isStopping(task: string, run: number): boolean {
        return this.requestSender.isStopping(task, run);
    }

    /**
     * Sets the pace of a run.
     * @param task - encoded task key
     * @param run - number of the run
     * @param percent - 0 to 100
     * @returns whether the target confirmed it
     */
    async setPace(task: string, run: number, percent: number): Promise<boolean> {
        const answer = await this.dependencies.client.setPace(
            this.record,
            { task, run, fencingToken: this.fencingToken },
            percent,
        );
        this.noteClock(answer);
        return answer.result === TargetRequestResult.Done;
    }

    private async runRenewals(): Promise<void> {
        while (!this.isClosed) {
            const load = this.readLoad();
            const isIdle = this.isSynced && load.runs.size === 0 && !this.isReportOverdue(this.readNow());
            if (isIdle || !this.dependencies.leadership.isActive()) {
                await this.waitForRenewal(isIdle ? idleIntervalMs : retryDelayMs);
                continue;
            }
            await this.sendRenewal(load);
        }
    }

    private async sendRenewal(load: Pick<TargetLoad, "runs">): Promise<void> {
        this.noteReportedClock();
        const sentAt = this.readNow();
        // A target that does not answer is only looked at: its lease has to end before its tasks can start elsewhere.
        const leaseUntilMs = this.unreachableSince === undefined
            ? this.targetClock.computeLeaseEnd(sentAt, this.readLeaseMs())
            : undefined;
        const answer = await this.dependencies.client.updateLease(this.readRecord(), {
            leaseUntilMs,
            fencingToken: this.fencingToken,
            lastSeen: this.lastCommittedEnd,
            waitMs: this.isSynced && load.runs.size > 0 ? longPollTimeoutMs : 0,
        });
        if (this.isClosed) {
            return;
        }
        this.noteLease(leaseUntilMs, answer);
        this.noteClock(answer);
        switch (answer.result) {
            case TargetRequestResult.Done:
                await this.handleRenewal(answer, sentAt);
                break;
            case TargetRequestResult.WrongTarget:
                await this.removeTarget("another target answers at its address");
                break;
            case TargetRequestResult.Fenced:
                this.noteUnreachable(answer.result);
                await this.waitForRenewal(idleIntervalMs);
                break;
            default:
                this.noteUnreachable(answer.result);
                await this.handleUnreachable();
                await this.waitForRenewal(retryDelayMs);
        }
    }

    private async handleRenewal(answer: LeaseRenewalResponse, sentAt: number): Promise<void> {
        if (answer.incarnation !== undefined && answer.incarnation !== this.record.incarnation) {
            await this.removeTarget("a new life answers under its id");
            return;
        }
        this.noteReachable();
        this.running.clear();
        answer.running.forEach(task => this.running.set(task.task, task));
        if (answer.ended.length > 0 && !await this.recordListedEnds(answer)) {
            return;
        }
        this.isSynced = true;
        await this.syncRuns(answer, sentAt);
        this.healthMonitor.collectStalledTasks(answer.running, (task, run) => this.isStopping(task, run)).forEach((
            { task, run },
        ) => this.stopTask(task, run));
        this.healthMonitor.collectTasksToMove(answer.running, (task, run) => this.readElapsedMs(task, run)).forEach((
            { task, run },
        ) => this.stopTask(task, run));
        this.requests.dropEnded(this.readLoad().runs);
    }

    /** Records ends; the target is told to forget them only once they are committed. */
    private async recordListedEnds({ ended }: LeaseRenewalResponse): Promise<boolean> {
        const { runs } = this.readLoad();
        const ends = ended.filter(({ task, run }) => runs.get(task) === run);
        if (ends.length > 0 && !await this.recordRunEnds(ends)) {
            return false;
        }
        this.lastCommittedEnd = Math.max(this.lastCommittedEnd, ...ended.map(({ number }) => number));
        return true;
    }

    /** Compares what the target runs with what is recorded. */
    private async syncRuns({ running, ended }: LeaseRenewalResponse, sentAt: number): Promise<void> {
        const { runs } = this.readLoad();
        const listed = new Map([...running, ...ended].map(({ task, run }) => [task, run]));
        const stopped: Omit<TaskEnd, "target">[] = [];
        for (const [task, run] of runs) {
            const order = this.requests.find(task, run);
            if (listed.get(task) === run) {
                this.confirmRun(task, run);
            }
            else if (order === undefined) {
                // An earlier leader recorded the start; its order is fenced off by now, so that it is given again.
                this.startTask(task, run);
            }
            else if (order.confirmedAt !== undefined && order.confirmedAt < sentAt) {
                if (order.isStopConfirmed) {
                    stopped.push({ task, run, how: RunOutcome.Stopped, saved: "" });
                }
                else {
                    this.stopTask(task, run);
                }
            }
        }
        for (const { task, run } of running) {
            if (runs.get(task) !== run) {
                this.stopTask(task, run);
            }
        }
        if (stopped.length > 0) {
            await this.recordRunEnds(stopped);
        }
    }

    private confirmRun(task: string, run: number): void {
        const order = this.requests.findOrCreate(task, run);
        order.confirmedAt ??= this.readNow();
        order.isStartUnanswered = false;
    }

    private async recordRunEnds(ends: readonly Omit<TaskEnd, "target">[]): Promise<boolean> {
        const { leadership, handleRunEnd: handleEnd, startScheduling: handleWork, log } = this.dependencies;
        const recorded = await leadership.recordCommand({
            kind: CommandKind.RecordEnds,
            ends: ends.map(({ task, run, how, saved }) => ({ task, run, how, saved, target: this.record.id })),
            atMs: Date.now(),
        });
        for (const { task, run, how } of recorded ?? []) {
            const order = this.requests.find(task, run);
            // Runs that an earlier leader started have gone on for an unknown time.
            const durationMs = order?.isStartSent === true ? this.readNow() - order.createdAt : undefined;
            handleEnd(task, how, durationMs);
            this.healthMonitor.noteRunEnd(task, how);
            log.record(DecisionKind.TaskEnded, {
                task,
                run,
                how,
                target: this.record.id,
                afterMs: durationMs === undefined ? undefined : Math.round(durationMs),
            });
        }
        handleWork();
        return recorded !== undefined;
    }

    private async handleUnreachable(): Promise<void> {
        const now = this.readNow();
        const { leadership, log, isTargetGone: isEnded } = this.dependencies;
        if (this.unreachableSince !== undefined && isEnded(this.record, this.unreachableSince)) {
            await this.removeTarget("the platform says that it has ended");
            return;
        }
        // An earlier leader may have renewed the lease until this leadership began.
        const earlierLapse = leadership.readStartedAt() + this.readLeaseMs() / minClockRate;
        const lapse = Math.max(earlierLapse, this.targetClock.computeLeaseExpiry() ?? 0);
        const { runs } = this.readLoad();
        if (now > lapse + leaseExpiryMarginMs && runs.size > 0) {
            log.record(DecisionKind.LeaseLost, {
                target: this.record.id,
                runs: runs.size,
                lapsedMs: Math.round(now - lapse),
            });
            const ends = [...runs].map(([task, run]) => ({
                task,
                run,
                how: RunOutcome.LeaseExpired,
                saved: this.readCheckpoint(task),
            }));
            await this.recordRunEnds(ends);
        }
        if (
            this.unreachableSince !== undefined && now - this.unreachableSince > removalTimeoutMs
            && this.isReportOverdue(now)
        ) {
            await this.removeTarget("it has answered nothing and sent nothing");
        }
    }

    private async removeTarget(reason: string): Promise<void> {
        const { leadership, log, startScheduling: handleWork } = this.dependencies;
        const { id, incarnation, vm } = this.record;
        const isKnown = await leadership.recordCommand({
            kind: CommandKind.RemoveTarget,
            id,
            incarnation,
            atMs: Date.now(),
        });
        if (isKnown === true) {
            log.record(DecisionKind.TargetGone, { target: id, vm, reason });
            this.close();
        }
        handleWork();
    }

    private noteUnreachable(result: TargetRequestResult): void {
        if (this.unreachableSince === undefined) {
            this.unreachableSince = this.readNow();
            this.dependencies.log.record(DecisionKind.TargetUnreachable, { target: this.record.id, result });
        }
    }

    private noteReachable(): void {
        if (this.unreachableSince !== undefined) {
            const forMs = Math.round(this.readNow() - this.unreachableSince);
            this.dependencies.log.record(DecisionKind.TargetReachable, { target: this.record.id, forMs });
            this.unreachableSince = undefined;
            this.dependencies.startScheduling();
        }
    }

    /** An order that got no answer may have been carried out. */
    private noteLease(leaseUntilMs: number | undefined, { result }: TargetResponse): void {
        if (leaseUntilMs !== undefined && result !== TargetRequestResult.NotSent) {
            this.targetClock.noteLease(leaseUntilMs);
        }
    }

    private noteClock({ clockMs }: TargetResponse): void {
        if (clockMs !== undefined) {
            this.targetClock.noteReading(clockMs, this.readNow());
        }
    }

    private noteReportedClock(): void {
        const report = this.dependencies.reports.findReport(this.record.id, this.record.incarnation);
        if (report?.clockMs !== undefined) {
            this.targetClock.noteReading(report.clockMs, report.at);
        }
    }

    private isReportOverdue(now: number): boolean {
        const heardAt = this.dependencies.reports.findReport(this.record.id, this.record.incarnation)?.at
            ?? this.dependencies.leadership.readStartedAt();
        return now - heardAt > reportTimeoutMs;
    }

    private isRunAssigned(task: string, run: number): boolean {
        return !this.isClosed && this.dependencies.leadership.isActive() && this.readLoad().runs.get(task) === run;
    }

    private readLoad(): Pick<TargetLoad, "runs"> {
        return this.dependencies.leadership.readFleet().targetLoads.get(this.record.id) ?? { runs: new Map() };
    }

    private readRecord(): TargetRecord {
        return this.dependencies.leadership.readFleet().targets.get(this.record.id) ?? this.record;
    }

    private readCheckpoint(task: string): string {
        return this.running.get(task)?.saved ?? "";
    }

    /** Since the target confirmed the run; orders may have waited for their turn before. */
    private readElapsedMs(task: string, run: number): number | undefined {
        const confirmedAt = this.requests.find(task, run)?.confirmedAt;
        return confirmedAt === undefined ? undefined : this.readNow() - confirmedAt;
    }

    private readLeaseMs(): number {
        return this.dependencies.maxLeaseMs * requestedLeaseFraction;
    }

    private readNow(): number {
        return this.dependencies.clock.readMonotonic();
    }

    private waitForRenewal(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            const settle = () => {
                cancel();
                this.wakeups.delete(settle);
                resolve();
            };
            const cancel = this.dependencies.clock.schedule(delayMs, settle);
            this.wakeups.add(settle);
        });
    }

    private startRenewal(): void {
        [...this.wakeups].forEach(settle => settle());
    }
}
