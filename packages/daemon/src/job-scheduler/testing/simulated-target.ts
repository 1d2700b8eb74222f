import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import { addResources } from "@daisylock/core/resources/add-resources.js";
import { isWithin } from "@daisylock/core/resources/is-within.js";
import type { Resources } from "@daisylock/core/resources/resources.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { Clock } from "../../clock/clock.js";
import type { EndedRun } from "../targets/ended-run.js";
import type { LeaseRenewalRequest } from "../targets/lease-renewal-request.js";
import type { LeaseRenewalResponse } from "../targets/lease-renewal-response.js";
import type { RunRequest } from "../targets/run-request.js";
import type { StartTaskRequest } from "../targets/start-task-request.js";
import { TargetRequestResult } from "../targets/target-request-result.js";
import type { TargetResponse } from "../targets/target-response.js";
import type { RunMonitor } from "./run-monitor.js";
import type { SimulatedWork } from "./simulated-work.js";

/** Longest time for which a stopped task keeps running, milliseconds. */
const stopGraceMs = 400;
/** Time after the report of a smaller capacity for which starts may still exceed it, milliseconds. */
const capacityGraceMs = 4_000;

interface ActiveRun {
    readonly task: string;
    readonly run: number;
    readonly work: SimulatedWork;
    readonly startedAt: number;
    isStopping: boolean;
    isStalled: boolean;
}

/** Properties of a simulated target. */
interface SimulatedTargetOptions {
    readonly clock: Clock;
    /** Rate of the target's clock relative to the leader's. */
    readonly clockRate: number;
    /** Reading of the target's clock when an incarnation starts, milliseconds. */
    readonly clockOffsetMs: number;
    /** Longest lease, milliseconds. */
    readonly maxLeaseMs: number;
    /** Whether starts that exceed the capacity are rejected. */
    readonly isGuarded: boolean;
    /** Maximum number of ended runs in one response. */
    readonly maxListedEnds: number;
    readonly monitor: Pick<
        RunMonitor,
        "noteStart" | "noteEnd" | "noteLapse" | "noteCrash" | "noteDiscard" | "noteOverload"
    >;
    /** Returns numbers from 0 to below 1. */
    readonly random: () => number;
}

/** A target that runs simulated tasks by the rules of the platform. */
export class SimulatedTarget {
    /** Result of all starts; `undefined` while the target accepts them. */
    refusal: TargetRequestResult | undefined;
    /** Number of next runs that fail. */
    failingRuns = 0;
    /** Number of next runs that make no progress. */
    stallingRuns = 0;
    /** Whether the process is down. */
    isDown = false;
    /** Called when a task crashes the target. */
    handleCrash: () => void = () => undefined;
    /** Largest capacity that the leader may still count with, as a smaller one was reported only recently. */
    private countedCapacity: Resources;
    /** By task and run: a run begins beside an earlier one of its task that is still being stopped. */
    private readonly runs = new Map<string, ActiveRun>();
    private ended: EndedRun[] = [];
    private endCount = 0;
    /** Highest run that was stopped or has ended, by encoded task key. */
    private readonly highestEndedRuns = new Map<string, number>();
    private fencingToken = 0;
    private leaseUntilMs = 0;
    private readonly waiters = new Set<() => void>();
    private startedAt = 0;
    private currentRecord: TargetRecord;

    /**
     * @param record - record of the target
     * @param options - clock, capacity guard and monitor
     */
    constructor(record: TargetRecord, private readonly options: SimulatedTargetOptions) {
        this.currentRecord = record;
        this.countedCapacity = record.capacity;
    }

    /**
     * The record of this incarnation.
     * @returns the record
     */
    get record(): TargetRecord {
        return this.currentRecord;
    }

    /**
     * Sets the capacity, which the next heartbeat reports. Runs that need more go on.
     * @param capacity - the capacity
     */
    setCapacity(capacity: Resources): void {
        this.currentRecord = { ...this.record, capacity };
    }

    /**
     * Records that the leader knows a capacity, with which it may count at once and has to count from some time later on.
     * @param capacity - the capacity
     */
    noteReported(capacity: Resources): void {
        const { cpu, memory, gpu } = this.countedCapacity;
        this.countedCapacity = {
            cpu: Math.max(cpu, capacity.cpu),
            memory: Math.max(memory, capacity.memory),
            gpu: Math.max(gpu, capacity.gpu),
        };
        this.options.clock.schedule(capacityGraceMs, () => {
            if (this.record.capacity === capacity) {
                this.countedCapacity = capacity;
            }
        });
    }

    /** Ends the process with all its runs. */
    stop(): void {
        this.isDown = true;
        this.runs.clear();
        this.ended = [];
        this.options.monitor.noteCrash(this.record.id);
        [...this.waiters].forEach(settle => settle());
    }

    /** Starts a new incarnation, which knows nothing of the earlier one. */
    start(): void {
        this.isDown = false;
        this.endCount = 0;
        this.highestEndedRuns.clear();
        this.fencingToken = 0;
        this.leaseUntilMs = 0;
        const { clock } = this.options;
        const { incarnation } = this.record;
        this.startedAt = clock.readMonotonic();
        this.currentRecord = { ...this.record, incarnation: Math.max(clock.readWall(), incarnation + 1) };
    }

    /**
     * Reads the target's clock.
     * @returns milliseconds
     */
    readClock(): number {
        const { clock, clockRate, clockOffsetMs } = this.options;
        return Math.floor(clockOffsetMs + (clock.readMonotonic() - this.startedAt) * clockRate);
    }

    /**
     * Starts a task.
     * @param request - the request
     * @returns the response
     */
    handleStart(request: StartTaskRequest): TargetResponse {
        return { result: this.startRun(request), clockMs: this.readClock() };
    }

    /**
     * Stops a run. A start of the same run that arrives later is rejected.
     * @param request - the request
     * @returns the response
     */
    handleStop({ task, run, fencingToken }: RunRequest): TargetResponse {
        if (!this.isTokenAccepted(fencingToken)) {
            return { result: TargetRequestResult.Fenced, clockMs: this.readClock() };
        }
        this.noteEndedRun(task, run);
        const active = this.runs.get(encodeRunKey(task, run));
        if (active?.isStopping === false) {
            active.isStopping = true;
            this.options.clock.schedule(
                this.options.random() * stopGraceMs,
                () => this.stopRun(active, RunOutcome.Stopped),
            );
        }
        return { result: TargetRequestResult.Done, clockMs: this.readClock() };
    }

    /**
     * Renews the lease, discards ends that are committed and lists the tasks. Waits for an end if none is listed.
     * @param request - the request
     * @returns the response
     */
    async handleRenewal(request: LeaseRenewalRequest): Promise<LeaseRenewalResponse> {
        if (!this.isTokenAccepted(request.fencingToken)) {
            return this.buildResponse(TargetRequestResult.Fenced);
        }
        this.ended = this.ended.filter(({ number }) => number > request.lastSeen);
        this.options.monitor.noteDiscard(this.record.id, request.lastSeen);
        this.setLease(request.leaseUntilMs);
        if (this.ended.length === 0 && request.waitMs > 0) {
            await this.waitForEnd(request.waitMs);
        }
        return this.buildResponse(TargetRequestResult.Done);
    }

    private startRun(request: StartTaskRequest): TargetRequestResult {
        const { task, run, leaseUntilMs, fencingToken } = request;
        if (!this.isTokenAccepted(fencingToken)) {
            return TargetRequestResult.Fenced;
        }
        if (leaseUntilMs <= this.readClock()) {
            return TargetRequestResult.LeaseExpired;
        }
        this.setLease(leaseUntilMs);
        if (run <= (this.highestEndedRuns.get(task) ?? 0)) {
            return TargetRequestResult.AlreadyEnded;
        }
        if (this.runs.has(encodeRunKey(task, run))) {
            return TargetRequestResult.Done;
        }
        if (this.refusal !== undefined) {
            return this.refusal;
        }
        const work = JSON.parse(request.spec) as SimulatedWork;
        const used = [...this.runs.values()].reduce((sum, active) => addResources(sum, active.work.needs), work.needs);
        const isFit = isWithin(used, this.record.capacity);
        if (!isFit && this.options.isGuarded) {
            return TargetRequestResult.InsufficientCapacity;
        }
        if (!isFit && !isWithin(used, this.countedCapacity)) {
            this.options.monitor.noteOverload(this.record.id, task);
        }
        this.addRun(task, run, work);
        return TargetRequestResult.Done;
    }

    private addRun(task: string, run: number, work: SimulatedWork): void {
        const { clock, monitor } = this.options;
        const startedAt = clock.readMonotonic();
        const active: ActiveRun = { task, run, work, startedAt, isStopping: false, isStalled: false };
        const key = encodeRunKey(task, run);
        monitor.noteStart(this.record.id, task, run);
        this.runs.set(key, active);
        const isFailing = this.failingRuns > 0;
        this.failingRuns = Math.max(0, this.failingRuns - 1);
        const isStalling = !isFailing && this.stallingRuns > 0;
        this.stallingRuns -= isStalling ? 1 : 0;
        active.isStalled = isStalling;
        if (work.crashAfterMs !== undefined) {
            clock.schedule(work.crashAfterMs, () => this.runs.get(key) === active && this.handleCrash());
        }
        if (isFailing) {
            clock.schedule(work.durationMs / 2, () => this.stopRun(active, RunOutcome.Failed));
        }
        else if (work.durationMs > 0 && !isStalling) {
            clock.schedule(work.durationMs, () => this.stopRun(active, RunOutcome.Done));
        }
    }

    /** Ends a run that is still active. */
    private stopRun(active: ActiveRun, how: RunOutcome): void {
        const { task, run } = active;
        const key = encodeRunKey(task, run);
        if (this.runs.get(key) !== active) {
            return;
        }
        this.runs.delete(key);
        this.noteEndedRun(task, run);
        this.endCount += 1;
        this.ended.push({ number: this.endCount, task, run, how, saved: "" });
        this.options.monitor.noteEnd(this.record.id, this.endCount, task, how, run);
        [...this.waiters].forEach(settle => settle());
    }

    private noteEndedRun(task: string, run: number): void {
        this.highestEndedRuns.set(task, Math.max(run, this.highestEndedRuns.get(task) ?? 0));
    }

    private isTokenAccepted(token: number): boolean {
        this.fencingToken = Math.max(this.fencingToken, token);
        return token === this.fencingToken;
    }

    /** Extends the lease; a lease is never shortened. */
    private setLease(untilMs: number | undefined): void {
        const now = this.readClock();
        const leaseUntilMs = Math.min(untilMs ?? 0, now + this.options.maxLeaseMs);
        if (leaseUntilMs > this.leaseUntilMs && leaseUntilMs > now) {
            this.leaseUntilMs = leaseUntilMs;
            const remainingMs = (leaseUntilMs - now) / this.options.clockRate;
            this.options.clock.schedule(remainingMs + 1, () => this.stopExpiredRuns(leaseUntilMs));
        }
    }

    private stopExpiredRuns(leaseUntilMs: number): void {
        if (this.leaseUntilMs === leaseUntilMs) {
            this.options.monitor.noteLapse(this.record.id);
            [...this.runs.values()].forEach(active => this.stopRun(active, RunOutcome.LeaseExpired));
        }
    }

    private buildResponse(result: TargetRequestResult): LeaseRenewalResponse {
        const isDone = result === TargetRequestResult.Done;
        const now = this.options.clock.readMonotonic();
        return {
            result,
            clockMs: this.readClock(),
            incarnation: this.record.incarnation,
            running: [...isDone ? this.runs.values() : []].map(active => ({
                task: active.task,
                run: active.run,
                saved: "",
                percent: computePercent(active, now),
                load: active.work.needs.cpu,
            })),
            ended: isDone ? this.ended.slice(0, this.options.maxListedEnds) : [],
            areAllEndsListed: this.ended.length < this.options.maxListedEnds,
        };
    }

    private waitForEnd(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const settle = () => {
                stopTimer();
                this.waiters.delete(settle);
                resolve();
            };
            const stopTimer = this.options.clock.schedule(waitMs, settle);
            this.waiters.add(settle);
        });
    }
}

function encodeRunKey(task: string, run: number): string {
    return `${task} ${run}`;
}

function computePercent({ work, startedAt, isStalled }: ActiveRun, now: number): number {
    if (isStalled) {
        return 0;
    }
    return work.durationMs === 0 ? 100 : Math.floor(100 * (now - startedAt) / work.durationMs);
}
