import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { TargetLoad } from "@daisylock/core/fleet/target-load.js";
import { RunEnd } from "@daisylock/core/jobs/run-end.js";
import type { TaskEnd } from "@daisylock/core/jobs/task-end.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import { DecisionKind } from "../log/decision-kind.js";
import type { HoldAnswer } from "../targets/hold-answer.js";
import type { OrderAnswer } from "../targets/order-answer.js";
import { OrderResult } from "../targets/order-result.js";
import type { RunningTask } from "../targets/running-task.js";
import { HealthWatch } from "./health-watch.js";
import { minClockRate } from "./min-clock-rate.js";
import { OrderBook } from "./order-book.js";
import { RunOrders } from "./run-orders.js";
import type { SessionSurroundings } from "./session-surroundings.js";
import { TargetClock } from "./target-clock.js";

/** Share of the longest lease that is asked for; the rest is room for a late renewal to be granted in full. */
const leaseShare = 0.75;
/** Longest wait of a renewal for an end. Three renewals may fail before a lease ends. */
const holdWaitMs = 1_000;
/** Longest pause without work; a target that sends no heartbeats is then looked at. */
const idleMs = 500;
/** Silence of heartbeats after which an idle target is looked at. */
const silenceMs = 3_500;
/** Pause after a failed order. */
const retryMs = 120;
/** Margin for the time between two readings of a clock. */
const lapseMarginMs = 50;
/** Time after which a target that answers nothing and sends nothing is forgotten. */
const forgetMs = 20_000;

/**
 * The leader's dealings with one life of a target: renews its lease, carries out recorded starts and stops, and records
 * ends before the target may forget them. Every order carries the fencing token of this leadership, so that once the
 * target has answered one, no order of an earlier leader can follow.
 */
export class TargetSession {
    /** What the target said that it runs, by encoded task key. */
    readonly running = new Map<string, RunningTask>();
    private readonly clock = new TargetClock();
    private readonly orders: OrderBook;
    private readonly runOrders: RunOrders;
    private readonly wakeups = new Set<() => void>();
    private readonly health: HealthWatch;
    private lastSeen = 0;
    private isSynced = false;
    private isClosed = false;
    private failingSince: number | undefined;
    /** Whether it is being checked that the target still answers; nothing starts there meanwhile. */
    private isDoubted = false;
    private leftOutUntil = 0;

    /**
     * @param record - the target life
     * @param token - fencing token of this leadership
     * @param surroundings - what the session needs
     */
    constructor(
        readonly record: TargetRecord,
        private readonly token: number,
        private readonly surroundings: SessionSurroundings,
    ) {
        this.orders = new OrderBook(surroundings.clock);
        this.runOrders = new RunOrders(token, this.orders, {
            isClosed: () => this.isClosed,
            isFailing: () => this.failingSince !== undefined,
            isOwed: (task, run) => this.isOwed(task, run),
            readRecord: () => this.readRecord(),
            computeLeaseEnd: () => this.clock.computeLeaseEnd(this.readNow(), this.readLeaseMs()),
            noteAnswer: (answer, leaseUntilMs) => {
                this.noteLease(leaseUntilMs, answer);
                this.noteClock(answer);
            },
            setLeftOut: forMs => {
                this.leftOutUntil = this.readNow() + forMs;
            },
            settleEnds: ends => this.settleEnds(ends),
            recordGone: reason => this.recordGone(reason),
            startWork: () => this.startWork(),
        }, surroundings);
        this.health = new HealthWatch(record, surroundings);
        void this.runRenewals();
    }

    /** Ends the session; orders under way are not waited for. */
    close(): void {
        this.isClosed = true;
        this.startWork();
    }

    /**
     * Tells whether tasks may be started here.
     * @returns false while the target is not known to answer, or has just refused a start
     */
    isUsable(): boolean {
        const now = this.readNow();
        return this.isSynced && this.failingSince === undefined && !this.isDoubted && now >= this.leftOutUntil
            && !this.isSilent(now);
    }

    /**
     * Tells whether the target is left out because it is slow.
     * @returns true while its tasks take several times as long as expected
     */
    isSlow(): boolean {
        return this.health.isSlow;
    }

    /**
     * Checks whether the target still answers, as soon as something speaks against it: a start that is given to a target
     * behind a cut holds its task until the lease there is over.
     */
    async checkReachable(): Promise<void> {
        if (this.isDoubted || this.failingSince !== undefined || this.isClosed) {
            return;
        }
        this.isDoubted = true;
        const { client } = this.surroundings;
        const answer = await client.checkTarget(this.readRecord(), {
            fencingToken: this.token,
            lastSeen: this.lastSeen,
        });
        this.isDoubted = false;
        this.noteClock(answer);
        if (answer.result === OrderResult.Unanswered || answer.result === OrderResult.NotSent) {
            this.noteFailure(answer.result);
        }
        else {
            this.surroundings.handleWork();
        }
    }

    /**
     * Tells how many tasks may be started here now.
     * @returns 0 for none; no bound for a target in good standing
     */
    countStartsLeft(): number {
        return this.isUsable() ? this.health.countStartsLeft(this.readLoad().runs.size) : 0;
    }

    /**
     * Carries out a recorded start.
     * @param task - encoded task key
     * @param run - number of the run
     */
    startTask(task: string, run: number): void {
        this.runOrders.startTask(task, run);
    }

    /**
     * Stops a run that may be here.
     * @param task - encoded task key
     * @param run - number of the run
     */
    stopTask(task: string, run: number): void {
        this.runOrders.stopTask(task, run);
    }

    /**
     * Tells whether a run is being stopped.
     * @param task - encoded task key
     * @param run - number of the run
     * @returns true from the wish on
     */
    isStopping(task: string, run: number): boolean {
        return this.runOrders.isStopping(task, run);
    }

    /**
     * Sets the pace of a run.
     * @param task - encoded task key
     * @param run - number of the run
     * @param percent - 0 to 100
     * @returns whether the target confirmed it
     */
    async setPace(task: string, run: number, percent: number): Promise<boolean> {
        const answer = await this.surroundings.client.setPace(
            this.record,
            { task, run, fencingToken: this.token },
            percent,
        );
        this.noteClock(answer);
        return answer.result === OrderResult.Done;
    }

    private async runRenewals(): Promise<void> {
        while (!this.isClosed) {
            const load = this.readLoad();
            const isIdle = this.isSynced && load.runs.size === 0 && !this.isSilent(this.readNow());
            if (isIdle || !this.surroundings.leadership.isDeciding()) {
                await this.waitForWork(isIdle ? idleMs : retryMs);
                continue;
            }
            await this.sendRenewal(load);
        }
    }

    private async sendRenewal(load: Pick<TargetLoad, "runs">): Promise<void> {
        this.noteHeartbeat();
        const sentAt = this.readNow();
        // A target that does not answer is only looked at: its lease has to end before its tasks can start elsewhere.
        const leaseUntilMs = this.failingSince === undefined
            ? this.clock.computeLeaseEnd(sentAt, this.readLeaseMs())
            : undefined;
        const answer = await this.surroundings.client.updateLease(this.readRecord(), {
            leaseUntilMs,
            fencingToken: this.token,
            lastSeen: this.lastSeen,
            waitMs: this.isSynced && load.runs.size > 0 ? holdWaitMs : 0,
        });
        if (this.isClosed) {
            return;
        }
        this.noteLease(leaseUntilMs, answer);
        this.noteClock(answer);
        switch (answer.result) {
            case OrderResult.Done:
                await this.handleLists(answer, sentAt);
                break;
            case OrderResult.WrongTarget:
                await this.recordGone("another target answers at its address");
                break;
            case OrderResult.Fenced:
                this.noteFailure(answer.result);
                await this.waitForWork(idleMs);
                break;
            default:
                this.noteFailure(answer.result);
                await this.handleUnreachable();
                await this.waitForWork(retryMs);
        }
    }

    private async handleLists(answer: HoldAnswer, sentAt: number): Promise<void> {
        if (answer.incarnation !== undefined && answer.incarnation !== this.record.incarnation) {
            await this.recordGone("a new life answers under its id");
            return;
        }
        this.noteSuccess();
        this.running.clear();
        answer.running.forEach(task => this.running.set(task.task, task));
        if (answer.ended.length > 0 && !await this.recordEnds(answer)) {
            return;
        }
        this.isSynced = true;
        await this.checkRuns(answer, sentAt);
        this.health.listStill(answer.running, (task, run) => this.isStopping(task, run)).forEach(({ task, run }) =>
            this.stopTask(task, run)
        );
        this.health.listSlow(answer.running, (task, run) => this.readElapsed(task, run)).forEach(({ task, run }) =>
            this.stopTask(task, run)
        );
        this.orders.dropSettled(this.readLoad().runs);
    }

    /** Records ends; the target is told to forget them only once they are committed. */
    private async recordEnds({ ended }: HoldAnswer): Promise<boolean> {
        const { runs } = this.readLoad();
        const ends = ended.filter(({ task, run }) => runs.get(task) === run);
        if (ends.length > 0 && !await this.settleEnds(ends)) {
            return false;
        }
        this.lastSeen = Math.max(this.lastSeen, ...ended.map(({ number }) => number));
        return true;
    }

    /** Compares what the target runs with what is recorded. */
    private async checkRuns({ running, ended }: HoldAnswer, sentAt: number): Promise<void> {
        const { runs } = this.readLoad();
        const listed = new Map([...running, ...ended].map(({ task, run }) => [task, run]));
        const stopped: Omit<TaskEnd, "target">[] = [];
        for (const [task, run] of runs) {
            const order = this.orders.find(task, run);
            if (listed.get(task) === run) {
                this.confirmRun(task, run);
            }
            else if (order === undefined) {
                // An earlier leader recorded the start; its order is fenced off by now, so that it is given again.
                this.startTask(task, run);
            }
            else if (order.confirmedAt !== undefined && order.confirmedAt < sentAt) {
                if (order.isStopConfirmed) {
                    stopped.push({ task, run, how: RunEnd.Stopped, saved: "" });
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
            await this.settleEnds(stopped);
        }
    }

    private confirmRun(task: string, run: number): void {
        const order = this.orders.open(task, run);
        order.confirmedAt ??= this.readNow();
        order.isUncertain = false;
    }

    private async settleEnds(ends: readonly Omit<TaskEnd, "target">[]): Promise<boolean> {
        const { leadership, handleEnd, handleWork, log } = this.surroundings;
        const recorded = await leadership.recordCommand({
            kind: CommandKind.RecordEnds,
            ends: ends.map(({ task, run, how, saved }) => ({ task, run, how, saved, target: this.record.id })),
            atMs: Date.now(),
        });
        for (const { task, run, how } of recorded ?? []) {
            const order = this.orders.find(task, run);
            // Runs that an earlier leader started have gone on for an unknown time.
            const durationMs = order?.isSent === true ? this.readNow() - order.sentAt : undefined;
            handleEnd(task, how, durationMs);
            this.health.noteEnd(task, how);
            log.note(DecisionKind.TaskEnded, {
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
        const { leadership, log, isEnded } = this.surroundings;
        if (this.failingSince !== undefined && isEnded(this.record, this.failingSince)) {
            await this.recordGone("the platform says that it has ended");
            return;
        }
        // An earlier leader may have renewed the lease until this leadership began.
        const earlierLapse = leadership.readStart() + this.readLeaseMs() / minClockRate;
        const lapse = Math.max(earlierLapse, this.clock.computeLapse() ?? 0);
        const { runs } = this.readLoad();
        if (now > lapse + lapseMarginMs && runs.size > 0) {
            log.note(DecisionKind.LeaseLost, {
                target: this.record.id,
                runs: runs.size,
                lapsedMs: Math.round(now - lapse),
            });
            const ends = [...runs].map(([task, run]) => ({
                task,
                run,
                how: RunEnd.Lapsed,
                saved: this.readSaved(task),
            }));
            await this.settleEnds(ends);
        }
        if (this.failingSince !== undefined && now - this.failingSince > forgetMs && this.isSilent(now)) {
            await this.recordGone("it has answered nothing and sent nothing");
        }
    }

    private async recordGone(reason: string): Promise<void> {
        const { leadership, log, handleWork } = this.surroundings;
        const { id, incarnation, vm } = this.record;
        const isKnown = await leadership.recordCommand({
            kind: CommandKind.RemoveTarget,
            id,
            incarnation,
            atMs: Date.now(),
        });
        if (isKnown === true) {
            log.note(DecisionKind.TargetGone, { target: id, vm, reason });
            this.close();
        }
        handleWork();
    }

    private noteFailure(result: OrderResult): void {
        if (this.failingSince === undefined) {
            this.failingSince = this.readNow();
            this.surroundings.log.note(DecisionKind.TargetUnreachable, { target: this.record.id, result });
        }
    }

    private noteSuccess(): void {
        if (this.failingSince !== undefined) {
            const forMs = Math.round(this.readNow() - this.failingSince);
            this.surroundings.log.note(DecisionKind.TargetReachable, { target: this.record.id, forMs });
            this.failingSince = undefined;
            this.surroundings.handleWork();
        }
    }

    /** An order that got no answer may have been carried out. */
    private noteLease(leaseUntilMs: number | undefined, { result }: OrderAnswer): void {
        if (leaseUntilMs !== undefined && result !== OrderResult.NotSent) {
            this.clock.noteLease(leaseUntilMs);
        }
    }

    private noteClock({ clockMs }: OrderAnswer): void {
        if (clockMs !== undefined) {
            this.clock.note(clockMs, this.readNow());
        }
    }

    private noteHeartbeat(): void {
        const report = this.surroundings.desk.findReport(this.record.id, this.record.incarnation);
        if (report?.clockMs !== undefined) {
            this.clock.note(report.clockMs, report.at);
        }
    }

    private isSilent(now: number): boolean {
        const heardAt = this.surroundings.desk.findReport(this.record.id, this.record.incarnation)?.at
            ?? this.surroundings.leadership.readStart();
        return now - heardAt > silenceMs;
    }

    private isOwed(task: string, run: number): boolean {
        return !this.isClosed && this.surroundings.leadership.isDeciding() && this.readLoad().runs.get(task) === run;
    }

    private readLoad(): Pick<TargetLoad, "runs"> {
        return this.surroundings.leadership.readFleet().targetLoads.get(this.record.id) ?? { runs: new Map() };
    }

    private readRecord(): TargetRecord {
        return this.surroundings.leadership.readFleet().targets.get(this.record.id) ?? this.record;
    }

    private readSaved(task: string): string {
        return this.running.get(task)?.saved ?? "";
    }

    /** Since the target confirmed the run; orders may have waited for their turn before. */
    private readElapsed(task: string, run: number): number | undefined {
        const confirmedAt = this.orders.find(task, run)?.confirmedAt;
        return confirmedAt === undefined ? undefined : this.readNow() - confirmedAt;
    }

    private readLeaseMs(): number {
        return this.surroundings.maxLeaseMs * leaseShare;
    }

    private readNow(): number {
        return this.surroundings.clock.readMonotonic();
    }

    private waitForWork(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            const settle = () => {
                cancel();
                this.wakeups.delete(settle);
                resolve();
            };
            const cancel = this.surroundings.clock.schedule(delayMs, settle);
            this.wakeups.add(settle);
        });
    }

    private startWork(): void {
        [...this.wakeups].forEach(settle => settle());
    }
}
