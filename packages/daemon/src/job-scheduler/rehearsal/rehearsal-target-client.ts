import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { Clock } from "../../clock/clock.js";
import type { EndedRun } from "../targets/ended-run.js";
import type { LeaseRenewalRequest } from "../targets/lease-renewal-request.js";
import type { LeaseRenewalResponse } from "../targets/lease-renewal-response.js";
import type { RunRequest } from "../targets/run-request.js";
import type { StartTaskRequest } from "../targets/start-task-request.js";
import { TargetClient } from "../targets/target-client.js";
import { TargetRequestResult } from "../targets/target-request-result.js";
import type { TargetResponse } from "../targets/target-response.js";

/** Bounds of the duration of a task, milliseconds. */
const minTaskMs = 200;
const taskSpreadMs = 400;
const taskLoad = 1_000;

/** State of one target. */
interface TargetState {
    readonly running: Map<string, { readonly run: number; readonly startedAt: number; readonly durationMs: number }>;
    ended: EndedRun[];
    endCount: number;
    waiters: (() => void)[];
}

/** Targets of a rehearsal: they run every task for some hundred milliseconds, in this process. */
export class RehearsalTargetClient extends TargetClient {
    private readonly states = new Map<string, TargetState>();
    private startCount = 0;

    /**
     * @param clock - clock of the rehearsal
     */
    constructor(private readonly clock: Clock) {
        super();
    }

    /**
     * Counts the starts that were requested.
     * @returns number of tasks
     */
    countStarts(): number {
        return this.startCount;
    }

    override async startTask({ id }: TargetRecord, { task, run }: StartTaskRequest): Promise<TargetResponse> {
        const state = this.readState(id);
        this.startCount += 1;
        const durationMs = minTaskMs + (this.startCount * 37) % taskSpreadMs;
        state.running.set(task, { run, startedAt: this.clock.readMonotonic(), durationMs });
        this.clock.schedule(durationMs, () => settleRun(state, task));
        return this.buildResponse();
    }

    override async stopTask({ id }: TargetRecord, { task }: RunRequest): Promise<TargetResponse> {
        settleRun(this.readState(id), task);
        return this.buildResponse();
    }

    override async setPace(): Promise<TargetResponse> {
        return this.buildResponse();
    }

    override async sendLeaseRenewal(
        { id, incarnation }: TargetRecord,
        { lastSeen, waitMs }: LeaseRenewalRequest,
    ): Promise<LeaseRenewalResponse> {
        const state = this.readState(id);
        state.ended = state.ended.filter(({ number }) => number > lastSeen);
        if (state.ended.length === 0 && waitMs > 0) {
            await new Promise<void>(resolve => {
                state.waiters.push(resolve);
                this.clock.schedule(waitMs, resolve);
            });
        }
        const now = this.clock.readMonotonic();
        return {
            ...this.buildResponse(),
            incarnation,
            running: [...state.running].map(([task, { run, startedAt, durationMs }]) => ({
                task,
                run,
                saved: "",
                percent: Math.floor(100 * (now - startedAt) / durationMs),
                load: taskLoad,
            })),
            ended: state.ended,
            areAllEndsListed: true,
        };
    }

    override async checkReachable(): Promise<TargetResponse> {
        return this.buildResponse();
    }

    override close(): void {
        // There are no connections to close.
    }

    private buildResponse(): TargetResponse {
        return { result: TargetRequestResult.Done, clockMs: Math.floor(this.clock.readMonotonic()) };
    }

    private readState(id: string): TargetState {
        const known = this.states.get(id);
        const state = known ?? { running: new Map(), ended: [], endCount: 0, waiters: [] };
        this.states.set(id, state);
        return state;
    }
}

function settleRun(state: TargetState, task: string): void {
    const active = state.running.get(task);
    if (active !== undefined) {
        state.running.delete(task);
        state.endCount += 1;
        state.ended.push({ number: state.endCount, task, run: active.run, how: RunOutcome.Done, saved: "" });
        state.waiters.splice(0).forEach(settle => settle());
    }
}
