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

const roundTripMs = 2;
/** Interval at which a renewal that waits looks for ended runs, milliseconds. */
const pollMs = 6;
/** Time beyond its wait for an end after which a renewal counts as unanswered, milliseconds. */
const renewalTimeoutMs = 250;

/** A target client whose responses a test controls. */
export class FakeTargetClient extends TargetClient {
    /** Result of start requests. */
    startResult = TargetRequestResult.Done;
    /** Time until the response to a start request, milliseconds. */
    startDelayMs = 0;
    /** Whether lease renewals, stops and probes are answered. */
    isResponding = true;
    /** Targets that do not answer checks of their reachability although `isResponding` is set. */
    readonly unreachableTargets = new Set<string>();
    /** Result of lease renewals, stops and probes that are not answered. */
    unansweredResult = TargetRequestResult.Unanswered;
    /** Incarnation that responds. */
    incarnation = 1;
    /** Rate of the target's clock relative to the daemon's. */
    clockRate = 1;
    /** Running tasks; those that a target has started are listed by it alone, those that a test adds by all targets. */
    readonly running: RunningTask[] = [];
    /** Whether running tasks are listed beside ended runs. */
    areRunningListed = true;
    readonly ended: EndedRun[] = [];
    areAllEndsListed = true;
    readonly starts: StartTaskRequest[] = [];
    readonly stops: RunRequest[] = [];
    readonly renewals: LeaseRenewalRequest[] = [];
    checkCount = 0;
    /** Ends up to which targets were told to discard them, in the order of the requests. */
    readonly acknowledgements: { readonly target: string; readonly number: number }[] = [];
    /** Numbers of the last ended runs that are discarded, by target. */
    private readonly discarded = new Map<string, number>();
    /** Targets of the running tasks that were started. */
    private readonly startTargets = new Map<RunningTask, string>();

    /**
     * @param clock - clock of the daemon
     * @param clockOffsetMs - time by which the target's clock is ahead of it, milliseconds
     */
    constructor(private readonly clock: Clock, private clockOffsetMs: number) {
        super();
    }

    override async startTask({ id }: TargetRecord, request: StartTaskRequest): Promise<TargetResponse> {
        this.starts.push(request);
        const { task, run, saved } = request;
        const result = this.startResult;
        if (
            result === TargetRequestResult.Done
            && !this.running.some(runningTask => runningTask.task === task)
        ) {
            const started = { task, run, saved, percent: 0, load: 0 };
            this.running.push(started);
            this.startTargets.set(started, id);
        }
        if (this.startDelayMs > 0) {
            await this.waitFor(this.startDelayMs);
        }
        return { result, clockMs: this.readClock() };
    }

    override async stopTask(_target: TargetRecord, request: RunRequest): Promise<TargetResponse> {
        this.stops.push(request);
        return this.isResponding
            ? { result: TargetRequestResult.Done, clockMs: this.readClock() }
            : { result: this.unansweredResult, clockMs: undefined };
    }

    override async setPace(): Promise<TargetResponse> {
        return { result: TargetRequestResult.Done, clockMs: this.readClock() };
    }

    override async sendLeaseRenewal(
        { id }: TargetRecord,
        request: LeaseRenewalRequest,
    ): Promise<LeaseRenewalResponse> {
        this.renewals.push(request);
        this.dropEnds(id, request.lastSeen);
        const listEnded = () => this.ended.filter(({ number }) => number > (this.discarded.get(id) ?? 0));
        const isLost = !this.isResponding && this.unansweredResult === TargetRequestResult.Unanswered;
        const hasEnded = () => this.isResponding && listEnded().length > 0;
        await this.waitFor(roundTripMs + (isLost ? request.waitMs + renewalTimeoutMs : 0));
        // A target responds at once while it lists runs whose end the leader has not committed.
        for (let waitedMs = roundTripMs; !isLost && waitedMs < request.waitMs && !hasEnded(); waitedMs += pollMs) {
            await this.waitFor(pollMs);
        }
        return this.isResponding
            ? {
                result: TargetRequestResult.Done,
                clockMs: this.readClock(),
                incarnation: this.incarnation,
                running: hasEnded() && !this.areRunningListed ? undefined : this.listRunning(id),
                ended: listEnded(),
                areAllEndsListed: this.areAllEndsListed,
            }
            : {
                result: this.unansweredResult,
                clockMs: undefined,
                incarnation: undefined,
                running: [],
                ended: [],
                areAllEndsListed: false,
            };
    }

    override async checkReachable(
        { id }: TargetRecord,
        { lastSeen }: Pick<LeaseRenewalRequest, "lastSeen">,
    ): Promise<TargetResponse> {
        this.checkCount += lastSeen === 0 ? 1 : 0;
        this.dropEnds(id, lastSeen);
        return this.isResponding && !this.unreachableTargets.has(id)
            ? { result: TargetRequestResult.Done, clockMs: this.readClock(), incarnation: this.incarnation }
            : { result: this.unansweredResult, clockMs: undefined };
    }

    override close(): void {
        // There are no connections to close.
    }

    /** Lets another incarnation answer from now on, whose clock has started again. */
    startClockAgain(): void {
        this.incarnation += 1;
        this.clockOffsetMs -= this.readClock();
    }

    /**
     * Reads the clock of the targets.
     * @returns milliseconds
     */
    readClock(): number {
        return this.clock.readMonotonic() * this.clockRate + this.clockOffsetMs;
    }

    private listRunning(target: string): RunningTask[] {
        return this.running.filter(running => (this.startTargets.get(running) ?? target) === target);
    }

    private dropEnds(target: string, lastSeen: number): void {
        if (lastSeen > 0) {
            this.acknowledgements.push({ target, number: lastSeen });
            this.discarded.set(target, Math.max(lastSeen, this.discarded.get(target) ?? 0));
        }
    }

    private waitFor(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            this.clock.schedule(delayMs, resolve);
        });
    }
}
