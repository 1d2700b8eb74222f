import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { computeIsolationMs } from "@daisylock/core/crashes/compute-isolation-ms.js";
import { computeProbationMs } from "@daisylock/core/crashes/compute-probation-ms.js";
import { countCrashedRuns } from "@daisylock/core/crashes/count-crashed-runs.js";
import type { CrashedRun } from "@daisylock/core/crashes/crashed-run.js";
import { isEndUnplanned } from "@daisylock/core/crashes/is-end-unplanned.js";
import { RunProgress } from "@daisylock/core/crashes/run-progress.js";
import type { TargetLoad } from "@daisylock/core/fleet/target-load.js";
import { isRunReleased } from "@daisylock/core/jobs/is-run-released.js";
import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import type { TaskEnd } from "@daisylock/core/jobs/task-end.js";
import { computeRunTimes } from "@daisylock/core/pools/compute-run-times.js";
import type { RunTimes } from "@daisylock/core/pools/run-times.js";
import { TargetExclusion } from "@daisylock/core/queueing/target-exclusion.js";
import type { TargetStatus } from "@daisylock/core/queueing/target-status.js";
import { isWithin } from "@daisylock/core/resources/is-within.js";
import { computePollTimeoutMs } from "@daisylock/core/targets/compute-poll-timeout-ms.js";
import { EndAcknowledgements } from "@daisylock/core/targets/end-acknowledgements.js";
import { isAddressVerified } from "@daisylock/core/targets/is-address-verified.js";
import { maxRequestDelayMs } from "@daisylock/core/targets/max-request-delay-ms.js";
import { planRunSync } from "@daisylock/core/targets/plan-run-sync.js";
import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import type { RunSyncPlan } from "@daisylock/core/targets/run-sync-plan.js";
import type { TargetClock } from "@daisylock/core/targets/target-clock.js";
import { TargetLeases } from "@daisylock/core/targets/target-leases.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { FaultListener } from "../../containment/fault-listener.js";
import { reportUncaught } from "../../containment/report-uncaught.js";
import { runContained } from "../../containment/run-contained.js";
import { startContained } from "../../containment/start-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import { createFaultListener } from "../logging/create-fault-listener.js";
import { DecisionKind } from "../logging/decision-kind.js";
import { ContainedTargetClient } from "../targets/contained-target-client.js";
import type { EndedRun } from "../targets/ended-run.js";
import type { LeaseRenewalResponse } from "../targets/lease-renewal-response.js";
import type { ListedRenewalResponse } from "../targets/listed-renewal-response.js";
import type { RunningTask } from "../targets/running-task.js";
import { TargetRequestResult } from "../targets/target-request-result.js";
import type { TargetResponse } from "../targets/target-response.js";
import { ProbeSchedule } from "./probe-schedule.js";
import { recordPoisonTasks } from "./record-poison-tasks.js";
import { reportTimeoutMs } from "./report-timeout-ms.js";
import { RunRequestSender } from "./run-request-sender.js";
import { RunRequestTracker } from "./run-request-tracker.js";
import type { SessionDependencies } from "./session-dependencies.js";
import { TargetEnding } from "./target-ending.js";
import { TargetHealthMonitor } from "./target-health-monitor.js";
import { UnrecordedRunTracker } from "./unrecorded-run-tracker.js";

/** Time after the start of a run at which it is checked, while there are suspects, whether the target has outlived it. */
const probationCheckMs = 110;
/** Interval at which the renewal loop checks an idle target for new runs and overdue heartbeats, milliseconds. */
const idleIntervalMs = 500;
/** Delay after a failed request, milliseconds. */
const retryDelayMs = 120;
/** Interval of the lists of a target whose ends are not acknowledged yet, which do not wait for an end, milliseconds. */
const heldListIntervalMs = 50;
/** Interval of the lists of a target whose lease has to expire first, milliseconds. */
const lapseCheckMs = 250;
/** Number of listed ends from which acknowledgements are not held back: half of what a target lists at a time. */
const maxHeldEnds = 250;
/** Interval at which a target that does not respond is checked for its lease, its end and the next probe, milliseconds. */
const unreachableCheckMs = 200;
/** Delay after a fault of the session, milliseconds. */
const faultDelayMs = 1_000;
/** Time for which no task is started on the target after a fault, milliseconds: beyond the next renewal. */
const faultBackoffMs = 2 * faultDelayMs;
/** Time for which the list of running tasks of a target on which runs end is not read again, milliseconds. */
const listIntervalMs = 250;
/** Shortest time between two checks of the progress of a target's tasks, milliseconds. */
const healthCheckIntervalMs = 100;
/** Time for which an announcement to leave tells that a target that cannot be reached has ended, milliseconds. */
const leavingMs = 3_000;
/** Margin added to the lease expiry for the time between two readings of a clock, milliseconds. */
const leaseExpiryMarginMs = 50;
/**
 * Time without a response after which a target is removed, milliseconds. The heartbeats of one that has responded before
 * prolong it; those of one that never has may be an untrusted sender's.
 */
const removalTimeoutMs = 20_000;

/**
 * The leader's session with one incarnation of a target: renews its lease, sends committed starts, and stops, and
 * commits ended runs before the target may discard them. Every request carries the fencing token of this leadership:
 * once the target has responded to one, it accepts no request of an earlier leader.
 */
export class TargetSession {
    /** Running tasks as last reported by the target, by encoded task key. */
    readonly running = new Map<string, RunningTask>();
    private readonly dependencies: SessionDependencies;
    private readonly noteFault: FaultListener;
    private readonly leases: TargetLeases;
    private readonly requests: RunRequestTracker;
    private readonly requestSender: RunRequestSender;
    private readonly wakeups = new Set<() => void>();
    private readonly healthMonitor: TargetHealthMonitor;
    private readonly unrecordedRuns: UnrecordedRunTracker;
    /** Monotonic milliseconds. */
    private readonly openedAt: number;
    /** Runs that were recorded when the session was opened, whose starts an earlier session may have sent. */
    private readonly openingRuns: ReadonlyMap<string, number>;
    /** Runs that were recorded on an earlier incarnation: lost, unless this one lists them. */
    private readonly inheritedRuns: ReadonlyMap<string, number>;
    private readonly acknowledgements = new EndAcknowledgements();
    /** Whether a list of running tasks was read and compared with the recorded runs; its ends may not be committed yet. */
    private isSynced = false;
    private isClosed = false;
    /** When another incarnation last responded, monotonic milliseconds; `undefined` once this one has answered a later request. */
    private replacedAt: number | undefined;
    /** Number of the last ended run that was listed and committed; 0 for none. */
    private lastListedEnd = 0;
    /** When the lease under which runs ended that were released has expired, monotonic milliseconds. */
    private lapseAwaitedUntil = -Infinity;
    /** Starts that wait until an acknowledgement has ended. */
    private readonly acknowledgementWaits = new Set<() => void>();
    /** Monotonic milliseconds. */
    private nextHealthCheckAt = 0;
    /** When the list of running tasks is to be read again, monotonic milliseconds. */
    private nextListAt = 0;
    /** When the target was asked for the list of running tasks, monotonic milliseconds. */
    private listedAt = 0;
    /** When a list was last asked for that has to reflect what happened before, monotonic milliseconds. */
    private listRequestedAt = 0;
    /** Monotonic milliseconds; `undefined` while the target responds. */
    private unreachableSince: number | undefined;
    private readonly probes: ProbeSchedule;
    /** Whether a reachability check is in flight; no task is started on the target meanwhile. */
    private isBeingChecked = false;
    /** Whether a check of the runs on probation is scheduled. */
    private isProbationCheckPlanned = false;
    /** Until when the target is expected to end, after a deregistration, monotonic milliseconds. */
    private leavingUntil = 0;
    /** Time before which no task is started on the target, monotonic milliseconds. */
    private startBackoffUntil = 0;

    /**
     * @param record - the target incarnation
     * @param fencingToken - fencing token of this session
     * @param dependencies - services and callbacks of the leader
     * @param isRestarted - whether this leadership had an earlier session with the id
     * @param takeToken - takes a higher fencing token for this session; `undefined` when there is none
     */
    constructor(
        readonly record: TargetRecord,
        private fencingToken: number,
        dependencies: SessionDependencies,
        isRestarted = false,
        private readonly takeToken: () => number | undefined = () => undefined,
    ) {
        this.noteFault = createFaultListener(dependencies.log);
        const client = new ContainedTargetClient(dependencies.client, this.noteFault);
        this.dependencies = { ...dependencies, client };
        this.openingRuns = new Map(this.readLoad().runs);
        this.inheritedRuns = isRestarted ? this.openingRuns : new Map();
        this.openedAt = dependencies.clock.readMonotonic();
        this.leases = new TargetLeases({
            incarnation: record.incarnation,
            wallMs: dependencies.clock.readWall(),
            openedAt: this.openedAt,
            leadingSince: dependencies.leadership.readStartedAt(),
            maxLeaseMs: dependencies.maxLeaseMs,
            isRestarted,
        });
        this.probes = new ProbeSchedule(dependencies.probeBudget);
        this.requests = new RunRequestTracker(dependencies.clock);
        this.requestSender = new RunRequestSender(this.requests, {
            isClosed: () => this.isClosed,
            isUnreachable: () => !this.isResponding(),
            isOverCapacity: () => this.isOverCapacity(),
            isRunAssigned: (task, run) => this.isRunAssigned(task, run),
            readRecord: () => this.readRecord(),
            computeLeaseEnd: () => this.leases.computeRequestedEnd(this.readNow()),
            readToken: () => this.fencingToken,
            acknowledgements: this.acknowledgements,
            isLapseAwaited: () => this.isLapseAwaited(),
            takeNextToken: () => {
                this.fencingToken = this.takeToken() ?? this.fencingToken;
            },
            waitForAcknowledgement: () => this.waitForAcknowledgement(),
            noteLease: (leaseUntilMs, sentAt) => this.leases.noteRequest(leaseUntilMs, sentAt),
            noteClock: (response, sentAt) => this.noteClock(response, sentAt),
            setStartBackoff: forMs => {
                this.startBackoffUntil = this.readNow() + forMs;
            },
            recordRunEnds: ends => this.recordRunEnds(ends),
            removeTarget: (reason, isStopped) => this.removeTarget(reason, isStopped),
            startRenewal: () => this.startRenewal(),
            startListing: () => this.startListing(),
            checkProbation: () => this.checkProbation(),
        }, this.dependencies);
        this.healthMonitor = new TargetHealthMonitor(record, dependencies);
        this.unrecordedRuns = new UnrecordedRunTracker(record, {
            isOpen: () => this.isOpen(),
            computeLeaseEnd: () => this.leases.computeExpiry() + leaseExpiryMarginMs,
        }, dependencies);
        this.runRenewals().catch(reportUncaught);
    }

    /**
     * Tells whether the session serves its target.
     * @returns false once it was closed, also by the removal of its target
     */
    isOpen(): boolean {
        return !this.isClosed;
    }

    /**
     * Reads the clock of the target as its answers state it.
     * @returns the clock, or `undefined` until the first answer of this incarnation
     */
    readAnsweredClock(): TargetClock | undefined {
        return this.leases.clock.isKnown() ? this.leases.clock : undefined;
    }

    /** Takes note of a deregistration of the target: it has left once no process can be reached at its address. */
    noteLeaving(): void {
        this.leavingUntil = this.readNow() + leavingMs;
        this.startRenewal();
    }

    /** Closes the session without waiting for requests in flight. */
    close(): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.settleAcknowledgementWaits();
            this.reportStrayRequests();
        }
        this.startRenewal();
    }

    /**
     * Tells whether tasks may be started on the target.
     * @returns false until the first renewal succeeds, while the target is unreachable, being checked or late with its
     *     heartbeats, and shortly after it refused a start or left one unanswered
     */
    isUsable(): boolean {
        return this.findExclusion() === undefined;
    }

    /**
     * Reads why no task may be started on the target, and which of its recorded runs it has not confirmed.
     * @returns the status at this moment
     */
    readStatus(): TargetStatus {
        const { runs } = this.readLoad();
        const isEjected = this.healthMonitor.countStartsLeft() === 0;
        return {
            exclusion: this.findExclusion() ?? (isEjected ? TargetExclusion.Ejected : undefined),
            unconfirmedRuns: this.requests.collectUnconfirmedRuns(runs, this.openedAt),
        };
    }

    /**
     * Tells whether the target responds, as far as this process knows.
     * @returns false from an unanswered renewal or check until the target responds again
     */
    isResponding(): boolean {
        return this.unreachableSince === undefined;
    }

    /**
     * Tells whether the target is ejected, or tried again with one task at a time.
     * @returns false for a healthy target
     */
    isEjected(): boolean {
        return this.healthMonitor.isEjected();
    }

    /**
     * Checks whether the target still responds. Called on the first sign that it does not, because a start that is sent
     * to a partitioned target blocks its task until the lease there expires.
     * @returns whether it responded, or `undefined` when it was not checked: it is closed, known to be unreachable, or
     *     being checked already
     */
    async checkReachable(): Promise<boolean | undefined> {
        if (this.isBeingChecked || this.isClosed || !this.isResponding()) {
            return undefined;
        }
        this.isBeingChecked = true;
        const { client } = this.dependencies;
        const sentAt = this.readNow();
        const request = { fencingToken: this.fencingToken, lastSeen: 0 };
        const response = await client.checkReachable(this.readRecord(), request);
        this.isBeingChecked = false;
        this.noteClock(response, sentAt);
        if (response.result === TargetRequestResult.Unanswered || response.result === TargetRequestResult.NotSent) {
            this.noteUnreachable(response.result);
            return false;
        }
        this.dependencies.startScheduling();
        return true;
    }

    /**
     * Counts the tasks that may be started on the target now.
     * @returns 0 when none may be started; infinity for a healthy target
     */
    countStartsLeft(): number {
        return this.isUsable() ? this.healthMonitor.countStartsLeft() : 0;
    }

    /**
     * Sends a committed start to the target.
     * @param task - encoded task key
     * @param run - run number
     */
    startTask(task: string, run: number): void {
        this.dependencies.measure("starts", () => this.requestSender.startTask(task, run));
    }

    /**
     * Stops a run that may be on the target.
     * @param task - encoded task key
     * @param run - run number
     */
    stopTask(task: string, run: number): void {
        this.requestSender.stopTask(task, run);
    }

    /**
     * Tells whether a run is being stopped.
     * @param task - encoded task key
     * @param run - run number
     * @returns true once a stop has been requested
     */
    isStopping(task: string, run: number): boolean {
        return this.requestSender.isStopping(task, run);
    }

    /**
     * Estimates the times of a run from its progress as last listed.
     * @param task - encoded task key
     * @param run - run number
     * @returns `undefined` for a run that this leader has not started, or that the target has not listed since
     */
    readRunTimes(task: string, run: number): RunTimes | undefined {
        if (this.requests.find(task, run)?.isStartSent !== true) {
            return undefined;
        }
        const elapsedMs = this.readElapsedMs(task, run);
        const listed = this.running.get(task);
        const sinceListMs = this.readNow() - this.listedAt;
        return elapsedMs === undefined || listed?.run !== run || elapsedMs <= sinceListMs
            ? undefined
            : computeRunTimes(elapsedMs, elapsedMs - sinceListMs, listed.percent);
    }

    /**
     * Sets the pace of a run.
     * @param task - encoded task key
     * @param run - run number
     * @param percent - percent of full speed, 0 to 100
     * @returns whether the target confirmed it
     */
    async setPace(task: string, run: number, percent: number): Promise<boolean> {
        const sentAt = this.readNow();
        const response = await this.dependencies.client.setPace(
            this.record,
            { task, run, fencingToken: this.fencingToken },
            percent,
        );
        this.noteClock(response, sentAt);
        return response.result === TargetRequestResult.Done;
    }

    /**
     * Tells what the leader knows of the runs that are recorded on the target, for the case that it has crashed.
     * @returns the runs
     */
    collectCrashedRuns(): CrashedRun[] {
        return [...this.readLoad().runs].map(([task, run]) => ({
            task,
            run,
            progress: this.readProgress(task, run),
        }));
    }

    /**
     * Tells whether a run that is recorded on the target is on probation, so that it runs apart from others.
     * @param task - encoded task key
     * @param run - run number
     * @returns false once the target was seen to run it for some time after its start
     */
    isOnProbation(task: string, run: number): boolean {
        const isolationMs = computeIsolationMs(this.dependencies.leadership.readFleet(), task);
        return this.requests.readProgress(task, run, isolationMs) !== RunProgress.Settled;
    }

    /**
     * Counts the runs that are recorded on the target and on probation.
     * @returns the number of runs
     */
    countOnProbation(): number {
        return [...this.readLoad().runs].filter(([task, run]) => this.isOnProbation(task, run)).length;
    }

    /**
     * Checks after the probation of a run whether the target is alive, unless another response tells so before. Called for
     * targets on which a suspect is on probation or that are kept for one: runs on probation keep suspects from starting
     * there, and a busy target may respond only later.
     */
    checkProbation(): void {
        if (this.isProbationCheckPlanned) {
            return;
        }
        this.isProbationCheckPlanned = true;
        const work = { work: WorkKind.ReachabilityCheck, subject: this.record.id };
        this.dependencies.clock.schedule(probationCheckMs, () => {
            this.isProbationCheckPlanned = false;
            startContained(this.noteFault, work, () => this.runProbationCheck());
            this.dependencies.startScheduling();
        });
    }

    /**
     * Takes note of ends of runs that are recorded.
     * @param ends - the ends, all of runs on this target
     */
    noteRunEnds(ends: readonly TaskEnd[]): void {
        const { handleRunEnd, log } = this.dependencies;
        for (const { task, run, how } of ends) {
            const request = this.requests.find(task, run);
            // The duration of runs that an earlier leader started is not known.
            const durationMs = request?.isStartSent === true ? this.readNow() - request.createdAt : undefined;
            handleRunEnd(task, how, durationMs);
            this.healthMonitor.noteRunEnd(task, how);
            log.record(DecisionKind.TaskEnded, {
                task,
                run,
                how,
                target: this.record.id,
                afterMs: durationMs === undefined ? undefined : Math.round(durationMs),
                progress: how === RunOutcome.TargetCrashed ? this.readProgress(task, run) : undefined,
            });
        }
    }

    private async runProbationCheck(): Promise<void> {
        if (this.isClosed || this.countOnProbation() === 0) {
            return;
        }
        await this.checkReachable();
        const { suspectTasks } = this.dependencies.leadership.readFleet();
        if ([...this.readLoad().runs].some(([task, run]) => suspectTasks.has(task) && this.isOnProbation(task, run))) {
            this.checkProbation();
        }
    }

    private findExclusion(): TargetExclusion | undefined {
        const now = this.readNow();
        if (!this.isSynced || this.isLapseAwaited()) {
            return TargetExclusion.Unsynced;
        }
        if (this.unreachableSince !== undefined) {
            return TargetExclusion.Unreachable;
        }
        if (this.unrecordedRuns.isEndAwaited()) {
            return TargetExclusion.Unrecorded;
        }
        if (this.isBeingChecked) {
            return TargetExclusion.Checking;
        }
        if (now < this.startBackoffUntil) {
            return TargetExclusion.Backoff;
        }
        return this.isReportOverdue(now) ? TargetExclusion.Overdue : undefined;
    }

    private async runRenewals(): Promise<void> {
        const work = { work: WorkKind.TargetSession, subject: this.record.id };
        while (!this.isClosed) {
            await runContained(this.noteFault, work, () => this.runRenewal(), () => this.handleFault());
        }
    }

    /** Renews the lease once, unless nothing calls for it, and waits until the next renewal is due. */
    private async runRenewal(): Promise<void> {
        const load = this.readLoad();
        // Read before the check of the leadership, as a lease that is computed after a suspension would be too long.
        const now = this.readNow();
        // An unreachable target is probed until it responds, also while nothing runs on it.
        const isIdle = this.isSynced && this.unreachableSince === undefined && load.runs.size === 0
            && !this.isReportOverdue(now) && now >= this.leavingUntil && !this.leases.clock.isReadingOutdated(now)
            && this.findAcknowledgement(now) === undefined && !this.unrecordedRuns.isEndAwaited();
        if (isIdle || !this.dependencies.leadership.isActive()) {
            await this.waitForRenewal(isIdle ? idleIntervalMs : retryDelayMs);
            return;
        }
        if (!this.isProbeDue()) {
            await this.handleUnreachable();
            await this.waitForRenewal(unreachableCheckMs);
            return;
        }
        const renewalDelayMs = await this.sendRenewal(load, now);
        const delayMs = renewalDelayMs > 0 ? renewalDelayMs : await this.sendAcknowledgement();
        if (delayMs > 0) {
            await this.waitForRenewal(delayMs);
        }
        else if (this.readLoad().runs.size === 0 && !this.unrecordedRuns.isEndAwaited()) {
            await this.waitForRenewal(idleIntervalMs);
        }
    }

    /** True for a target that responds. One that announced its end is probed at once, as that tells when it has left. */
    private isProbeDue(): boolean {
        const now = this.readNow();
        return this.unreachableSince === undefined || now < this.leavingUntil
            || this.probes.takeProbe(now, this.readLastReport() ?? Number.NEGATIVE_INFINITY);
    }

    /** Treats the target as one that does not respond, so that it takes no start and is removed in time. */
    private async handleFault(): Promise<void> {
        if (this.isClosed) {
            return;
        }
        const work = { work: WorkKind.TargetSession, subject: this.record.id };
        this.noteUnreachable(TargetRequestResult.Unanswered);
        this.startBackoffUntil = this.readNow() + faultBackoffMs;
        await runContained(this.noteFault, work, () => this.handleUnreachable(), () => undefined);
        await this.waitForRenewal(faultDelayMs);
    }

    /** Returns the delay before the next renewal, milliseconds: 0 after one that succeeded. */
    private async sendRenewal(load: Pick<TargetLoad, "runs">, sentAt: number): Promise<number> {
        const isUnrecordedAwaited = this.unrecordedRuns.isEndAwaited();
        const isEndExpected = load.runs.size > 0 || isUnrecordedAwaited;
        // An unreachable target is only probed: its lease has to expire before its tasks can start elsewhere. Nor is one
        // renewed under which only runs that were released go on.
        const isLeased = this.isResponding() && !this.isLapseAwaited()
            && (load.runs.size > 0 || !isUnrecordedAwaited);
        const leaseUntilMs = isLeased ? this.leases.computeRequestedEnd(sentAt) : undefined;
        const request = {
            leaseUntilMs,
            fencingToken: this.fencingToken,
            // A renewal may be executed after the target has started again, and has to discard no ends then.
            lastSeen: 0,
            waitMs: this.isSynced && this.isResponding() && isEndExpected && !this.acknowledgements.isPending()
                ? computePollTimeoutMs(this.dependencies.readUtilization())
                : 0,
            mayOmitRunning: this.isSynced && this.isResponding() && sentAt < this.nextListAt,
        };
        const { client, measure } = this.dependencies;
        const response = await measure("renewals", () => client.sendLeaseRenewal(this.readRecord(), request));
        if (this.isClosed) {
            return 0;
        }
        this.noteLease(leaseUntilMs, sentAt, response);
        this.noteClock(response, sentAt);
        switch (response.result) {
            case TargetRequestResult.Done:
                return await this.handleRenewal(response, sentAt) ? 0 : retryDelayMs;
            case TargetRequestResult.WrongTarget:
                if (this.isSynced || this.readLoad().runs.size === 0 || isAddressVerified(this.readRecord())) {
                    await this.removeTarget("another target responds at its address", true);
                    return retryDelayMs;
                }
                // The address may be wrong in a record of an earlier version, and the runs be elsewhere.
                this.noteUnreachable(response.result);
                await this.handleUnreachable();
                return retryDelayMs;
            case TargetRequestResult.Fenced:
                if (request.fencingToken < this.fencingToken) {
                    // A start of this session has overtaken it.
                    return retryDelayMs;
                }
                this.noteUnreachable(response.result);
                return idleIntervalMs;
            default:
                this.noteUnreachable(response.result);
                if (response.result === TargetRequestResult.NotSent && this.isLeaving()) {
                    await this.removeTarget("it announced that it is leaving", false);
                    return retryDelayMs;
                }
                await this.handleUnreachable();
                return retryDelayMs;
        }
    }

    /**
     * Lets the target discard the ends that are committed, right after it has listed them. Returns the delay before the
     * next renewal, milliseconds.
     */
    private async sendAcknowledgement(): Promise<number> {
        if (this.isClosed) {
            return 0;
        }
        const number = this.findAcknowledgement(this.readNow());
        if (number === undefined || !this.isResponding() || !this.dependencies.leadership.isActive()) {
            if (this.isLapseAwaited()) {
                return lapseCheckMs;
            }
            return this.acknowledgements.isPending() ? heldListIntervalMs : 0;
        }
        const { client } = this.dependencies;
        const sentAt = this.readNow();
        this.acknowledgements.noteSent();
        const request = { fencingToken: this.fencingToken, lastSeen: number };
        const response = await client.checkReachable(this.readRecord(), request);
        const { result, mayRepeat, incarnation = this.record.incarnation } = response;
        this.noteClock(response, sentAt);
        const isExecuted = result === TargetRequestResult.Done && incarnation === this.record.incarnation;
        const mayBeLate = result === TargetRequestResult.Unanswered || mayRepeat === true;
        this.acknowledgements.noteSettled(number, isExecuted, mayBeLate, this.readNow());
        this.settleAcknowledgementWaits();
        if (result === TargetRequestResult.Unanswered || result === TargetRequestResult.NotSent) {
            this.noteUnreachable(result);
        }
        return isExecuted ? 0 : retryDelayMs;
    }

    /** Returns the number of the last end that the target may discard; `undefined` while it may discard none. */
    private findAcknowledgement(now: number): number | undefined {
        return this.isLapseAwaited() ? undefined : this.acknowledgements.findDue(now);
    }

    private isLapseAwaited(): boolean {
        return this.readNow() < this.lapseAwaitedUntil;
    }

    private waitForAcknowledgement(): Promise<void> {
        const isOver = this.isClosed || !this.isResponding() || this.acknowledgements.isStartAllowed(this.readNow());
        return isOver ? Promise.resolve() : new Promise(resolve => this.acknowledgementWaits.add(resolve));
    }

    private settleAcknowledgementWaits(): void {
        const waits = [...this.acknowledgementWaits];
        this.acknowledgementWaits.clear();
        waits.forEach(settle => settle());
    }

    /** Returns false when what the target reports could not be committed. */
    private async handleRenewal(response: LeaseRenewalResponse, sentAt: number): Promise<boolean> {
        if (response.incarnation !== undefined && response.incarnation !== this.record.incarnation) {
            // Which recorded runs the new incarnation runs is told by its session, which its heartbeat begins.
            await this.handleUnreachable();
            return false;
        }
        if (response.clockMs !== undefined) {
            this.leases.clock.noteAnswer(response.clockMs, this.readNow());
        }
        this.leases.noteFenced(this.readNow());
        if (this.replacedAt !== undefined && sentAt > this.replacedAt) {
            this.replacedAt = undefined;
        }
        this.noteReachable();
        const { running } = response;
        if (running !== undefined) {
            this.running.clear();
            running.forEach(task => this.running.set(task.task, task));
            this.listedAt = sentAt;
        }
        this.unrecordedRuns.noteEnds(response.ended);
        const { measure } = this.dependencies;
        const sync = () => running === undefined ? [] : this.syncRuns({ ...response, running }, sentAt);
        // Before the commit of the ends: until then, their runs count as recorded and keep the capacity of the target.
        let stopped = measure("lists", sync);
        if (response.ended.length > 0) {
            if (!await this.recordListedEnds(response)) {
                return false;
            }
            // The end of a gang's member ends the others, which the target may still list.
            stopped = measure("lists", sync);
        }
        if (stopped.length > 0) {
            await this.recordRunEnds(stopped.map(run => ({ ...run, how: RunOutcome.Stopped, saved: "" })));
        }
        if (running !== undefined) {
            if (sentAt >= this.listRequestedAt) {
                this.nextListAt = this.readNow() + listIntervalMs;
            }
            measure("progress", () => this.checkHealth(running));
        }
        this.requests.dropEndedRuns(this.readLoad().runs, this.running);
        return true;
    }

    /** A busy target answers many renewals a second, which differ little in the progress of its tasks. */
    private checkHealth(running: readonly RunningTask[]): void {
        const now = this.readNow();
        if (now < this.nextHealthCheckAt) {
            return;
        }
        this.nextHealthCheckAt = now + healthCheckIntervalMs;
        const tasks = [
            ...this.healthMonitor.collectStalledTasks(running, (task, run) => this.isStopping(task, run)),
            ...this.healthMonitor.collectTasksToMove(running, (task, run) => this.readElapsedMs(task, run)),
        ];
        tasks.forEach(({ task, run }) => this.stopTask(task, run));
    }

    /** Commits ended runs; the target is told to discard them only once they are committed. */
    private async recordListedEnds({ ended, areAllEndsListed }: LeaseRenewalResponse): Promise<boolean> {
        const { runs } = this.readLoad();
        const ends = ended.filter(({ task, run }) => runs.get(task) === run);
        ends.forEach(({ task }) => this.dependencies.noteRunBegun(task));
        if (ends.length > 0 && !await this.recordRunEnds(ends)) {
            return false;
        }
        // After the commit, as runs may be released before it is applied.
        this.handleIgnoredEnds(ended);
        this.lastListedEnd = Math.max(this.lastListedEnd, ...ended.map(({ number }) => number));
        const isListLong = !areAllEndsListed || ended.length >= maxHeldEnds;
        this.acknowledgements.noteCommitted(this.lastListedEnd, isListLong, this.readNow());
        return true;
    }

    /**
     * A run that was released and has ended as done is started again, so that the target may discard its end only once the
     * lease that it had has expired. A target on which nothing runs gets no lease until then.
     */
    private handleIgnoredEnds(ended: readonly EndedRun[]): void {
        const fleet = this.dependencies.leadership.readFleet();
        const ignored = ended.filter(end =>
            end.number > this.lastListedEnd && end.how === RunOutcome.Done && isRunReleased(fleet, end.task, end.run)
        );
        const [first] = ignored;
        if (first !== undefined) {
            const now = this.readNow();
            const lapseAt = this.leases.computeExpiry() + leaseExpiryMarginMs;
            if (!this.isAnyRunning(ended) && lapseAt > now) {
                this.lapseAwaitedUntil = Math.max(this.lapseAwaitedUntil, lapseAt);
                this.dependencies.clock.schedule(lapseAt - now, () => this.dependencies.startScheduling());
            }
            const { id, incarnation } = this.record;
            const { number, task, run } = first;
            this.dependencies.log.record(DecisionKind.EndsIgnored, {
                target: id,
                incarnation,
                count: ignored.length,
                leaseMs: Math.max(0, Math.round(lapseAt - now)),
                awaited: this.isLapseAwaited(),
                number,
                task,
                run,
            });
        }
    }

    /** Tells whether a run may be running: one that was listed and has not ended, or whose start was sent. */
    private isAnyRunning(ended: readonly EndedRun[]): boolean {
        const isListed = [...this.running.values()].some(({ task, run }) =>
            !ended.some(end => end.task === task && end.run === run)
        );
        return isListed
            || [...this.readLoad().runs].some(([task, run]) => this.requests.find(task, run)?.isStartSent === true);
    }

    /** Reconciles the runs that the target reports with the committed ones, and returns those that it has stopped. */
    private syncRuns(
        { running, ended, areAllEndsListed, clockMs }: ListedRenewalResponse,
        sentAt: number,
    ): RunSyncPlan["stopped"] {
        const list = { running, ended, isComplete: areAllEndsListed, requestedAt: sentAt };
        const recorded = new Map(this.readLoad().runs);
        ended.filter(({ task, run }) => recorded.get(task) === run).forEach(({ task }) => recorded.delete(task));
        const plan = planRunSync(recorded, list, (task, run) => this.requests.find(task, run));
        this.unrecordedRuns.noteList(plan.unassigned);
        for (const { task, run } of plan.confirmed) {
            this.confirmRun(task, run, clockMs);
            if (this.isStopping(task, run)) {
                this.stopTask(task, run);
            }
        }
        // Either an earlier leader committed the start, and its request has a lower fencing token and can no longer be
        // accepted, or the request of this leader ended unsettled. One in flight is not repeated.
        if (plan.unstarted.some(({ task, run }) => this.openingRuns.get(task) === run)) {
            this.acknowledgements.noteStrayStarts(this.dependencies.leadership.readStartedAt() + maxRequestDelayMs);
        }
        plan.unstarted.forEach(({ task, run }) => this.startOrStopRun(task, run));
        [...plan.lost, ...plan.unassigned].forEach(({ task, run }) => this.stopTask(task, run));
        if (!this.isSynced) {
            this.isSynced = true;
            this.dependencies.startScheduling();
        }
        return plan.stopped;
    }

    /** A run that was lost with an earlier incarnation is stopped first, as its start may still be in flight. */
    private startOrStopRun(task: string, run: number): void {
        if (this.inheritedRuns.get(task) === run) {
            this.stopTask(task, run);
        }
        else {
            this.startTask(task, run);
        }
    }

    private confirmRun(task: string, run: number, clockMs: number | undefined): void {
        const request = this.requests.findOrCreate(task, run);
        request.confirmedAt ??= this.readNow();
        request.isStartUnanswered = false;
        request.confirmedClockMs ??= clockMs;
        this.dependencies.noteRunBegun(task);
    }

    private async recordRunEnds(ends: readonly Omit<TaskEnd, "target">[]): Promise<boolean> {
        if (this.isClosed) {
            // The next session may have started the runs again.
            return false;
        }
        const { endRecorder, startScheduling, noteEnds } = this.dependencies;
        const reportedAt = this.readNow();
        const recorded = await endRecorder.recordEnds(ends.map(({ task, run, how, saved, progress }) => ({
            task,
            run,
            how,
            saved,
            target: this.record.id,
            progress,
        })));
        noteEnds(recorded?.length ?? 0, this.readNow() - reportedAt);
        this.dependencies.measure("ends", () => this.noteRunEnds(recorded ?? []));
        startScheduling();
        return recorded !== undefined;
    }

    /** A target drains before it leaves; one that does not and has runs may only be cut off. */
    private isLeaving(): boolean {
        const mayLeave = this.readRecord().state === ReportedTargetState.Draining || this.readLoad().runs.size === 0;
        return mayLeave && this.readNow() < this.leavingUntil;
    }

    private async handleUnreachable(): Promise<void> {
        const now = this.readNow();
        const { log, findTargetEnding } = this.dependencies;
        // The next incarnation may have begun recorded runs, which its removal would release; its heartbeat keeps them.
        const ending = this.unreachableSince === undefined || this.replacedAt !== undefined
            ? undefined
            : findTargetEnding(this.record, this.unreachableSince);
        if (ending !== undefined) {
            await this.removeTarget("the VM service reports it as ended", ending === TargetEnding.Stopped);
            return;
        }
        const { runs } = this.readLoad();
        const expiries = [...runs].map(([task, run]) => ({ task, run, expiry: this.computeRunExpiry(task, run) }));
        const expired = expiries.filter(({ expiry }) => now > expiry + leaseExpiryMarginMs);
        if (expired.length > 0) {
            log.record(DecisionKind.LeaseLost, {
                target: this.record.id,
                runs: expired.length,
                heldRuns: runs.size - expired.length,
                lapsedMs: Math.round(now - Math.min(...expired.map(({ expiry }) => expiry))),
            });
            const ends = expired.map(({ task, run }) => ({
                task,
                run,
                how: RunOutcome.LeaseExpired,
                saved: this.readCheckpoint(task),
                progress: this.readProgress(task, run),
            }));
            await this.recordRunEnds(ends);
        }
        if (
            this.unreachableSince !== undefined && now - this.unreachableSince > removalTimeoutMs
            && (!this.isSynced || this.isReportOverdue(now))
        ) {
            const reason = this.isSynced
                ? "it neither responds nor sends heartbeats"
                : "it has never responded to this leader";
            await this.removeTarget(reason, false);
        }
    }

    private computeRunExpiry(task: string, run: number): number {
        const { unansweredStartAt } = this.requests.find(task, run) ?? {};
        return this.leases.computeRunExpiry(unansweredStartAt, this.openingRuns.get(task) === run);
    }

    /** Removes the target; one whose process has stopped has crashed, unless its end was announced. */
    private async removeTarget(reason: string, isStopped: boolean): Promise<void> {
        const { leadership, log, startScheduling } = this.dependencies;
        const { id, incarnation, vm } = this.record;
        const isCrash = isStopped && isEndUnplanned(leadership.readFleet(), this.readRecord());
        const runs = this.collectCrashedRuns();
        const removal = await leadership.recordCommand({
            kind: CommandKind.RemoveTarget,
            id,
            incarnation,
            atMs: this.dependencies.clock.readWall(),
            crash: isCrash ? { target: id, runs } : undefined,
        });
        if (removal?.isKnown === true) {
            log.record(DecisionKind.TargetGone, {
                target: id,
                vm,
                reason,
                crashed: isCrash,
                ...countCrashedRuns(runs),
            });
            this.noteRunEnds(removal.ends);
            recordPoisonTasks(log, removal.poisonTasks, id);
            this.close();
        }
        startScheduling();
    }

    private noteUnreachable(result: TargetRequestResult): void {
        this.probes.noteFailure(this.readNow());
        if (this.unreachableSince === undefined) {
            this.unreachableSince = this.readNow();
            this.dependencies.log.record(DecisionKind.TargetUnreachable, { target: this.record.id, result });
            this.settleAcknowledgementWaits();
        }
    }

    private noteReachable(): void {
        if (this.unreachableSince !== undefined) {
            const forMs = Math.round(this.readNow() - this.unreachableSince);
            this.dependencies.log.record(DecisionKind.TargetReachable, { target: this.record.id, forMs });
            this.unreachableSince = undefined;
            this.probes.noteResponse();
            this.dependencies.startScheduling();
        }
    }

    /** A request without a response may have been executed, so its lease counts as granted. */
    private noteLease(leaseUntilMs: number | undefined, sentAt: number, { result, mayRepeat }: TargetResponse): void {
        if (leaseUntilMs !== undefined && result !== TargetRequestResult.NotSent) {
            // After the time limit of a relay, another copy was sent.
            this.leases.noteRequest(leaseUntilMs, mayRepeat === true ? this.readNow() : sentAt);
        }
    }

    /**
     * Only responses with lists name the incarnation; the clock in the others tells. Returns false for a response of another
     * incarnation.
     */
    private noteClock(response: TargetResponse & Partial<LeaseRenewalResponse>, sentAt: number): boolean {
        const { result, clockMs, incarnation } = response;
        const now = this.readNow();
        if (clockMs === undefined || result === TargetRequestResult.WrongTarget) {
            return true;
        }
        if (
            incarnation === undefined
                ? this.leases.clock.isOther(clockMs, sentAt, now)
                : incarnation !== this.record.incarnation
        ) {
            this.noteOtherIncarnation();
            return false;
        }
        this.leases.clock.noteReading(clockMs, now);
        this.leases.noteAnswered(sentAt);
        this.requests.noteAlive(clockMs);
        return true;
    }

    /** Its ends have numbers of their own, none of which is committed, and it has a lease by a clock of its own. */
    private noteOtherIncarnation(): void {
        this.replacedAt = this.readNow();
        this.lastListedEnd = 0;
        this.acknowledgements.noteOtherIncarnation();
        this.leases.noteOtherIncarnation(this.readNow());
        this.noteUnreachable(TargetRequestResult.WrongTarget);
    }

    private readProgress(task: string, run: number): RunProgress {
        const probationMs = computeProbationMs(this.dependencies.leadership.readFleet(), task);
        return this.requests.readProgress(task, run, probationMs);
    }

    private isReportOverdue(now: number): boolean {
        return now - (this.readLastReport() ?? this.dependencies.leadership.readStartedAt()) > reportTimeoutMs;
    }

    /** Reads when the last heartbeat of this incarnation came, monotonic milliseconds. */
    private readLastReport(): number | undefined {
        return this.dependencies.reports.findReport(this.record.id, this.record.incarnation)?.at;
    }

    private isOverCapacity(): boolean {
        const { used } = this.dependencies.leadership.readFleet().targetLoads.get(this.record.id) ?? {};
        return used !== undefined && !isWithin(used, this.readRecord().capacity);
    }

    private isRunAssigned(task: string, run: number): boolean {
        return !this.isClosed && this.readLoad().runs.get(task) === run;
    }

    /** Requests that the next incarnation of the target may execute. */
    private reportStrayRequests(): void {
        const { startsMs, acknowledgementsMs, acknowledged } = this.acknowledgements.readStrayRequests(this.readNow());
        if (startsMs + acknowledgementsMs > 0) {
            this.dependencies.log.record(DecisionKind.RequestsUnanswered, {
                target: this.record.id,
                incarnation: this.record.incarnation,
                startsMs: Math.round(startsMs),
                acknowledgementsMs: Math.round(acknowledgementsMs),
                acknowledged,
                token: this.fencingToken,
            });
        }
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

    /** Time since the target confirmed the run, as its start may have been delayed; `undefined` before that. */
    private readElapsedMs(task: string, run: number): number | undefined {
        const confirmedAt = this.requests.find(task, run)?.confirmedAt;
        return confirmedAt === undefined ? undefined : this.readNow() - confirmedAt;
    }

    private readNow(): number {
        return this.dependencies.clock.readMonotonic();
    }

    /** Waits for the delay, or until `startRenewal` is called; not at all in a closed session. */
    private waitForRenewal(delayMs: number): Promise<void> {
        if (this.isClosed) {
            return Promise.resolve();
        }
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

    /** Makes the next renewal list the running tasks, also when runs have ended. */
    private startListing(): void {
        this.listRequestedAt = this.readNow();
        this.nextListAt = 0;
        this.startRenewal();
    }

    private startRenewal(): void {
        [...this.wakeups].forEach(settle => settle());
    }
}
