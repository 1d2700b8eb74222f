import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { findTask } from "@daisylock/core/jobs/find-task.js";
import { RunEnd } from "@daisylock/core/jobs/run-end.js";
import type { TaskEnd } from "@daisylock/core/jobs/task-end.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import { TargetState } from "@daisylock/core/targets/target-state.js";

import { DecisionKind } from "../log/decision-kind.js";
import type { OrderAnswer } from "../targets/order-answer.js";
import { OrderResult } from "../targets/order-result.js";
import type { OrderBook } from "./order-book.js";
import type { SessionSurroundings } from "./session-surroundings.js";
import type { TargetOrder } from "./target-order.js";

/** Pause after a failed order. */
const retryMs = 120;
/** Time for which nothing is started on a target that refused a start. */
const refusedMs = 300;

const refusals: ReadonlySet<OrderResult> = new Set([
    OrderResult.NoRoom,
    OrderResult.Unhealthy,
    OrderResult.NoTicket,
    OrderResult.Invalid,
]);

/** What orders need of the session of their target. */
interface OrderSession {
    readonly isClosed: () => boolean;
    /** Whether the target does not answer. */
    readonly isFailing: () => boolean;
    /** Whether a run is recorded here and this process may order it. */
    readonly isOwed: (task: string, run: number) => boolean;
    readonly readRecord: () => TargetRecord;
    /** Computes the end of a lease that is granted now, on the target's clock; `undefined` while that is not known. */
    readonly computeLeaseEnd: () => number | undefined;
    readonly noteAnswer: (answer: OrderAnswer, leaseUntilMs?: number) => void;
    /** Starts nothing here for some milliseconds. */
    readonly setLeftOut: (forMs: number) => void;
    /** Records ends; false when they may not have been recorded. */
    readonly settleEnds: (ends: readonly Omit<TaskEnd, "target">[]) => Promise<boolean>;
    readonly recordGone: (reason: string) => Promise<void>;
    /** Lets the session look at the target's lists again. */
    readonly startWork: () => void;
}

/**
 * Carries out recorded starts and stops on one target, one order for a run at a time. A start that got no answer is given
 * again with the same number; before it counts as rejected it is stopped, so that it can't begin afterwards.
 */
export class RunOrders {
    /**
     * @param token - fencing token of this leadership
     * @param orders - what is known of each order
     * @param session - the session of the target
     * @param surroundings - what the session needs
     */
    constructor(
        private readonly token: number,
        private readonly orders: OrderBook,
        private readonly session: OrderSession,
        private readonly surroundings: SessionSurroundings,
    ) {}

    /**
     * Carries out a recorded start.
     * @param task - encoded task key
     * @param run - number of the run
     */
    startTask(task: string, run: number): void {
        const order = this.orders.open(task, run);
        void this.runOrder(order, () => this.sendStart(task, order));
        this.session.startWork();
    }

    /**
     * Stops a run that may be here.
     * @param task - encoded task key
     * @param run - number of the run
     */
    stopTask(task: string, run: number): void {
        const order = this.orders.open(task, run);
        order.isStopWanted = true;
        if (!order.isStopConfirmed) {
            void this.runOrder(order, () => this.sendStop(task, order));
        }
        this.session.startWork();
    }

    /**
     * Tells whether a run is being stopped.
     * @param task - encoded task key
     * @param run - number of the run
     * @returns true from the wish on
     */
    isStopping(task: string, run: number): boolean {
        return this.orders.find(task, run)?.isStopWanted === true;
    }

    private async sendStart(task: string, order: TargetOrder): Promise<void> {
        while (this.session.isOwed(task, order.run)) {
            if (order.isStopWanted || this.session.readRecord().state !== TargetState.Ready) {
                await this.sendStop(task, order);
                return;
            }
            if (this.session.isFailing()) {
                if (!order.isSent && await this.settleRejection(task, order)) {
                    return;
                }
                await this.waitMs(retryMs);
                continue;
            }
            const answer = await this.sendOneStart(task, order);
            if (answer === undefined || await this.settleStart(task, order, answer)) {
                return;
            }
            await this.waitMs(retryMs);
        }
    }

    private async sendOneStart(task: string, order: TargetOrder): Promise<OrderAnswer | undefined> {
        const { leadership, client } = this.surroundings;
        const key = decodeTaskKey(task);
        const job = key === undefined ? undefined : leadership.readFleet().jobs.get(key.job);
        const record = key === undefined || job === undefined ? undefined : findTask(job, key);
        const leaseUntilMs = this.session.computeLeaseEnd();
        if (job === undefined || record === undefined) {
            return undefined;
        }
        if (leaseUntilMs === undefined) {
            return { result: OrderResult.NotSent, clockMs: undefined };
        }
        order.isSent = true;
        const answer = await client.startTask(this.session.readRecord(), {
            task,
            run: order.run,
            spec: job.spec,
            leaseUntilMs,
            fencingToken: this.token,
            saved: record.saved,
            ticket: this.surroundings.findTicket(task, this.session.readRecord().id),
        });
        this.session.noteAnswer(answer, leaseUntilMs);
        return answer;
    }

    /** Returns whether the start needs no further attempt. */
    private async settleStart(task: string, order: TargetOrder, answer: OrderAnswer): Promise<boolean> {
        const { log } = this.surroundings;
        if (answer.result === OrderResult.Done || answer.result === OrderResult.Old) {
            order.confirmedAt = this.readNow();
            order.isUncertain = false;
            log.note(DecisionKind.TaskStarted, {
                task,
                run: order.run,
                target: this.session.readRecord().id,
                tookMs: Math.round(this.readNow() - order.sentAt),
            });
            return true;
        }
        log.note(DecisionKind.OrderFailed, {
            order: "start",
            task,
            run: order.run,
            target: this.session.readRecord().id,
            result: answer.result,
            uncertain: order.isUncertain,
        });
        if (answer.result === OrderResult.WrongTarget) {
            await this.session.recordGone("another target answers at its address");
            return true;
        }
        if (answer.result === OrderResult.Unanswered) {
            order.isUncertain = true;
            this.session.setLeftOut(refusedMs);
            this.surroundings.handleDoubt(this.session.readRecord());
            return false;
        }
        if (answer.result === OrderResult.NoTicket) {
            this.surroundings.handleBadTicket(task, this.session.readRecord().id);
        }
        if (answer.result === OrderResult.NotSent) {
            this.surroundings.handleDoubt(this.session.readRecord());
        }
        if (refusals.has(answer.result) || answer.result === OrderResult.NotSent) {
            this.session.setLeftOut(refusedMs);
            return this.settleRejection(task, order);
        }
        return false;
    }

    /** A start that may be under way still is stopped first, so that it can't begin after it counts as rejected. */
    private async settleRejection(task: string, order: TargetOrder): Promise<boolean> {
        if (order.isUncertain) {
            order.isStopWanted = true;
            return false;
        }
        return this.session.settleEnds([{ task, run: order.run, how: RunEnd.Rejected, saved: "" }]);
    }

    private async sendStop(task: string, order: TargetOrder): Promise<void> {
        while (!order.isStopConfirmed && !this.session.isClosed() && this.surroundings.leadership.isDeciding()) {
            const answer = await this.surroundings.client.stopTask(this.session.readRecord(), {
                task,
                run: order.run,
                fencingToken: this.token,
            });
            this.session.noteAnswer(answer);
            if (answer.result === OrderResult.Done || answer.result === OrderResult.Old) {
                order.isStopConfirmed = true;
                order.confirmedAt = this.readNow();
                this.session.startWork();
                return;
            }
            if (!this.session.isOwed(task, order.run) && answer.result !== OrderResult.Unanswered) {
                return;
            }
            await this.waitMs(retryMs);
        }
    }

    /** One order for a run at a time. */
    private async runOrder(order: TargetOrder, send: () => Promise<void>): Promise<void> {
        if (order.isBusy) {
            return;
        }
        order.isBusy = true;
        try {
            await send();
        }
        finally {
            order.isBusy = false;
        }
    }

    private readNow(): number {
        return this.surroundings.clock.readMonotonic();
    }

    private waitMs(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            this.surroundings.clock.schedule(delayMs, resolve);
        });
    }
}
