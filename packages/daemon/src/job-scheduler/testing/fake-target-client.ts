import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { Clock } from "../../clock/clock.js";
import type { EndedRun } from "../targets/ended-run.js";
import type { LeaseRenewalRequest } from "../targets/lease-renewal-request.js";
import type { LeaseRenewalResponse } from "../targets/lease-renewal-response.js";
import type { RunRequest } from "../targets/run-request.js";
import type { RunningTask } from "../targets/running-task.js";
import type { StartTaskRequest } from "../targets/start-task-request.js";
import { TargetClient } from "../targets/target-client.js";
import { TargetRequestResult } from "../targets/target-request-result.js";
import type { TargetResponse } from "../targets/target-response.js";

/** A target whose answers a test decides. */
export class FakeTargetClient extends TargetClient {
    /** What becomes of starts. */
    startResult = TargetRequestResult.Done;
    /** Whether renewals are answered. */
    isAnswering = true;
    /** What becomes of renewals that are not answered. */
    unansweredResult = TargetRequestResult.Unanswered;
    readonly running: RunningTask[] = [];
    readonly ended: EndedRun[] = [];
    readonly starts: StartTaskRequest[] = [];
    readonly stops: RunRequest[] = [];
    readonly renewals: LeaseRenewalRequest[] = [];
    checkCount = 0;

    /**
     * @param clock - time; the target's clock is ahead of it by a fixed amount
     * @param clockOffsetMs - that amount, milliseconds
     */
    constructor(private readonly clock: Clock, private readonly clockOffsetMs: number) {
        super();
    }

    override async startTask(_target: TargetRecord, order: StartTaskRequest): Promise<TargetResponse> {
        this.starts.push(order);
        const { task, run, saved } = order;
        if (this.startResult === TargetRequestResult.Done && !this.running.some(row => row.task === task)) {
            this.running.push({ task, run, saved, percent: 0, load: 0 });
        }
        return { result: this.startResult, clockMs: this.readClock() };
    }

    override async stopTask(_target: TargetRecord, order: RunRequest): Promise<TargetResponse> {
        this.stops.push(order);
        return { result: TargetRequestResult.Done, clockMs: this.readClock() };
    }

    override async setPace(): Promise<TargetResponse> {
        return { result: TargetRequestResult.Done, clockMs: this.readClock() };
    }

    override async updateLease(_target: TargetRecord, order: LeaseRenewalRequest): Promise<LeaseRenewalResponse> {
        this.renewals.push(order);
        await new Promise<void>(resolve => {
            this.clock.schedule(order.waitMs, resolve);
        });
        return this.isAnswering
            ? {
                result: TargetRequestResult.Done,
                clockMs: this.readClock(),
                incarnation: 1,
                running: [...this.running],
                ended: this.ended.filter(({ number }) => number > order.lastSeen),
            }
            : { result: this.unansweredResult, clockMs: undefined, incarnation: undefined, running: [], ended: [] };
    }

    override async checkReachable(): Promise<TargetResponse> {
        this.checkCount += 1;
        return this.isAnswering
            ? { result: TargetRequestResult.Done, clockMs: this.readClock() }
            : { result: this.unansweredResult, clockMs: undefined };
    }

    override close(): void {
        // Nothing is open.
    }

    private readClock(): number {
        return this.clock.readMonotonic() + this.clockOffsetMs;
    }
}
