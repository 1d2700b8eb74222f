import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { Clock } from "../../clock/clock.js";
import type { EndedRun } from "../targets/ended-run.js";
import type { HoldAnswer } from "../targets/hold-answer.js";
import type { HoldOrder } from "../targets/hold-order.js";
import type { OrderAnswer } from "../targets/order-answer.js";
import { OrderResult } from "../targets/order-result.js";
import type { RunOrder } from "../targets/run-order.js";
import type { RunningTask } from "../targets/running-task.js";
import type { StartOrder } from "../targets/start-order.js";
import { TargetClient } from "../targets/target-client.js";

/** A target whose answers a test decides. */
export class FakeTargetClient extends TargetClient {
    /** What becomes of starts. */
    startResult = OrderResult.Done;
    /** Whether renewals are answered. */
    isAnswering = true;
    /** What becomes of renewals that are not answered. */
    silentResult = OrderResult.Unanswered;
    readonly running: RunningTask[] = [];
    readonly ended: EndedRun[] = [];
    readonly starts: StartOrder[] = [];
    readonly stops: RunOrder[] = [];
    readonly holds: HoldOrder[] = [];
    checks = 0;

    /**
     * @param clock - time; the target's clock is ahead of it by a fixed amount
     * @param aheadMs - that amount, milliseconds
     */
    constructor(private readonly clock: Clock, private readonly aheadMs: number) {
        super();
    }

    override async startTask(_target: TargetRecord, order: StartOrder): Promise<OrderAnswer> {
        this.starts.push(order);
        const { task, run, saved } = order;
        if (this.startResult === OrderResult.Done && !this.running.some(row => row.task === task)) {
            this.running.push({ task, run, saved, percent: 0, load: 0 });
        }
        return { result: this.startResult, clockMs: this.readClock() };
    }

    override async stopTask(_target: TargetRecord, order: RunOrder): Promise<OrderAnswer> {
        this.stops.push(order);
        return { result: OrderResult.Done, clockMs: this.readClock() };
    }

    override async setPace(): Promise<OrderAnswer> {
        return { result: OrderResult.Done, clockMs: this.readClock() };
    }

    override async updateLease(_target: TargetRecord, order: HoldOrder): Promise<HoldAnswer> {
        this.holds.push(order);
        await new Promise<void>(resolve => {
            this.clock.schedule(order.waitMs, resolve);
        });
        return this.isAnswering
            ? {
                result: OrderResult.Done,
                clockMs: this.readClock(),
                incarnation: 1,
                running: [...this.running],
                ended: this.ended.filter(({ number }) => number > order.lastSeen),
            }
            : { result: this.silentResult, clockMs: undefined, incarnation: undefined, running: [], ended: [] };
    }

    override async checkTarget(): Promise<OrderAnswer> {
        this.checks += 1;
        return this.isAnswering
            ? { result: OrderResult.Done, clockMs: this.readClock() }
            : { result: this.silentResult, clockMs: undefined };
    }

    override close(): void {
        // Nothing is open.
    }

    private readClock(): number {
        return this.clock.readMonotonic() + this.aheadMs;
    }
}
