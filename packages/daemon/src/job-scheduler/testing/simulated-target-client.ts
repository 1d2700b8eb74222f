import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { Clock } from "../../clock/clock.js";
import type { LeaseRenewalRequest } from "../targets/lease-renewal-request.js";
import type { LeaseRenewalResponse } from "../targets/lease-renewal-response.js";
import type { RunRequest } from "../targets/run-request.js";
import type { StartTaskRequest } from "../targets/start-task-request.js";
import { TargetClient } from "../targets/target-client.js";
import { TargetRequestResult } from "../targets/target-request-result.js";
import type { TargetResponse } from "../targets/target-response.js";
import { RandomDelays } from "./random-delays.js";
import { RequestFate } from "./request-fate.js";
import type { SimulatedTarget } from "./simulated-target.js";

/** Timeouts of the platform's client, milliseconds. */
const requestTimeoutMs = 500;
const checkTimeoutMs = 300;
/** Bounds of the delay of a request or response, milliseconds. */
const minDelayMs = 1;
const maxDelayMs = 12;
/** Shortest delay of a request that is executed late, milliseconds. */
const minLateMs = 600;
/** Further delay of a request that an incarnation may not execute yet, milliseconds. */
const strayDelayMs = 50;

/** Sends requests to simulated targets through a simulated network. */
export class SimulatedTargetClient extends TargetClient {
    private readonly delays: RandomDelays;
    /** Longest delay of a request that is executed late, milliseconds. */
    maxLateMs = 4_500;
    /** Picks what happens to the next request to a target. */
    pickFate: (target: string) => RequestFate = () => RequestFate.Answered;
    /**
     * Whether an incarnation executes requests that were meant for its predecessor; otherwise they are delayed further.
     */
    isStrayExecuted: (target: SimulatedTarget) => boolean = () => true;

    /**
     * @param targets - the targets by id
     * @param clock - clock of the simulation
     * @param random - returns numbers from 0 to below 1
     */
    constructor(
        private readonly targets: ReadonlyMap<string, SimulatedTarget>,
        private readonly clock: Clock,
        random: () => number,
    ) {
        super();
        this.delays = new RandomDelays(clock, random);
    }

    override startTask(record: TargetRecord, request: StartTaskRequest): Promise<TargetResponse> {
        return this.sendRequest(record, requestTimeoutMs, async target => target.handleStart(request));
    }

    override stopTask(record: TargetRecord, request: RunRequest): Promise<TargetResponse> {
        return this.sendRequest(record, requestTimeoutMs, async target => target.handleStop(request));
    }

    override setPace(record: TargetRecord): Promise<TargetResponse> {
        return this.sendRequest(record, requestTimeoutMs, async target => ({
            result: TargetRequestResult.Done,
            clockMs: target.readClock(),
        }));
    }

    override async sendLeaseRenewal(record: TargetRecord, request: LeaseRenewalRequest): Promise<LeaseRenewalResponse> {
        const timeoutMs = request.waitMs + requestTimeoutMs;
        const response = await this.sendRequest(record, timeoutMs, target => target.handleRenewal(request));
        return { incarnation: undefined, running: [], ended: [], areAllEndsListed: false, ...response };
    }

    override checkReachable(
        record: TargetRecord,
        request: Pick<LeaseRenewalRequest, "fencingToken" | "lastSeen">,
    ): Promise<TargetResponse> {
        return this.sendRequest(
            record,
            checkTimeoutMs,
            target => target.handleRenewal({ ...request, leaseUntilMs: undefined, waitMs: 0 }),
        );
    }

    override close(): void {
        // There are no connections to close.
    }

    private async sendRequest<Response extends TargetResponse>(
        { id, address }: TargetRecord,
        timeoutMs: number,
        execute: (target: SimulatedTarget) => Promise<Response>,
    ): Promise<Response | TargetResponse> {
        const target = [...this.targets.values()].find(({ record }) => record.address === address);
        const fate = this.pickFate(target?.record.id ?? id);
        const requestDelayMs = this.delays.pickDelay(minDelayMs, maxDelayMs);
        if (target === undefined || fate === RequestFate.Refused || target.isDown) {
            await this.delays.waitDelay(requestDelayMs);
            return { result: TargetRequestResult.NotSent, clockMs: undefined };
        }
        const { incarnation } = target.record;
        // A request names only the id, so that a later incarnation carries out one that was meant for its predecessor.
        const isExecutable = () => !target.isDown && target.record.id === id && target.record.address === address;
        if (fate === RequestFate.ResponseLost || fate === RequestFate.Late) {
            const executionDelayMs = fate === RequestFate.Late
                ? this.delays.pickDelay(minLateMs, this.maxLateMs)
                : requestDelayMs;
            const executeLate = (): void => {
                const isStray = target.record.incarnation !== incarnation;
                if (isStray && !this.isStrayExecuted(target)) {
                    this.clock.schedule(strayDelayMs, executeLate);
                }
                else if (isExecutable()) {
                    void execute(target);
                }
            };
            this.clock.schedule(executionDelayMs, executeLate);
        }
        if (fate !== RequestFate.Answered) {
            await this.delays.waitDelay(timeoutMs);
            return { result: TargetRequestResult.Unanswered, clockMs: undefined };
        }
        await this.delays.waitDelay(requestDelayMs);
        if (target.record.id !== id) {
            return { result: TargetRequestResult.WrongTarget, clockMs: undefined };
        }
        const executedBy = target.record.incarnation;
        const response = isExecutable() ? await execute(target) : undefined;
        // The connection breaks when the target ends before its response has been sent.
        if (response === undefined || target.isDown || target.record.incarnation !== executedBy) {
            return { result: TargetRequestResult.Unanswered, clockMs: undefined };
        }
        await this.delays.waitDelay(this.delays.pickDelay(minDelayMs, maxDelayMs));
        return response;
    }
}
