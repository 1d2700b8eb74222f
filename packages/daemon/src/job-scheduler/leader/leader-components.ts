import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";
import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { isJobFinished } from "@daisylock/core/jobs/is-job-finished.js";
import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import { parseStepKey } from "@daisylock/core/placement/parse-step-key.js";
import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { Clock } from "../../clock/clock.js";
import { startContained } from "../../containment/start-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import type { Metrics } from "../../metrics/metrics.js";
import type { ChildSpec } from "../../supervision/child-spec.js";
import type { AdviceService } from "../advice/advice-service.js";
import { createFaultListener } from "../logging/create-fault-listener.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { FleetHandlers } from "../peers/fleet-handlers.js";
import type { FleetSettings } from "../settings/fleet-settings.js";
import { ContainedTargetClient } from "../targets/contained-target-client.js";
import type { TargetClient } from "../targets/target-client.js";
import type { VmService } from "../vms/vm-service.js";
import { BegunJobRegistry } from "./begun-job-registry.js";
import { ConfigurationHandler } from "./configuration-handler.js";
import { findTargetEnding } from "./find-target-ending.js";
import { JobCallHandler } from "./job-call-handler.js";
import { JobStateBudget } from "./job-state-budget.js";
import type { Leadership } from "./leadership.js";
import type { LoadMeter } from "./load-meter.js";
import { MaintenanceRunner } from "./maintenance-runner.js";
import { MaintenanceWaveHandler } from "./maintenance-wave-handler.js";
import { PaceController } from "./pace-controller.js";
import { PlacementTicketFetcher } from "./placement-ticket-fetcher.js";
import { PoolBalancer } from "./pool-balancer.js";
import { Scheduler } from "./scheduler.js";
import { SharedFailureDetector } from "./shared-failure-detector.js";
import { StalledTaskRegistry } from "./stalled-task-registry.js";
import { TargetClaimVerifier } from "./target-claim-verifier.js";
import { TargetEnding } from "./target-ending.js";
import { TargetReportHandler } from "./target-report-handler.js";
import { TargetSessions } from "./target-sessions.js";
import { TaskDurationEstimator } from "./task-duration-estimator.js";
import type { UtilizationMonitor } from "./utilization-monitor.js";
import { VmConsolidator } from "./vm-consolidator.js";
import { VmLeaseTracker } from "./vm-lease-tracker.js";

const msPerSecond = 1_000;
const bytesPerMegabyte = 1_000_000;

/** Dependencies of the leader components. */
interface LeaderDependencies {
    readonly settings: FleetSettings;
    readonly leadership: Leadership;
    readonly client: TargetClient;
    readonly vms: VmService;
    readonly advice: AdviceService;
    readonly clock: Clock;
    readonly log: DecisionLog;
    readonly metrics: Pick<Metrics, "recordTime">;
    readonly load: LoadMeter;
    readonly utilization: Pick<UtilizationMonitor, "readUtilization">;
}

/** Components that a keeper (control-plane replica) runs while it leads. */
export class LeaderComponents {
    private readonly estimator = new TaskDurationEstimator();
    private readonly stalledTasks = new StalledTaskRegistry();
    private readonly sharedFailures = new SharedFailureDetector();
    private readonly sessions: TargetSessions;
    private readonly maintenance: MaintenanceRunner;
    private readonly balancer: PoolBalancer;
    private readonly consolidator: VmConsolidator;
    private readonly scheduler: Scheduler;
    private readonly targetReports: TargetReportHandler;
    private readonly tickets: PlacementTicketFetcher;
    private readonly jobStateBudget: JobStateBudget;
    private readonly begunJobs: BegunJobRegistry;

    /**
     * @param dependencies - settings, leadership, outgoing clients, clock and log
     */
    constructor(private readonly dependencies: LeaderDependencies) {
        const { settings, leadership, client, vms, advice, clock, log } = dependencies;
        const startScheduling = () => this.scheduler.startRound();
        this.begunJobs = new BegunJobRegistry(leadership);
        const containedClient = new ContainedTargetClient(client, createFaultListener(log));
        this.targetReports = new TargetReportHandler(
            leadership,
            clock,
            log,
            startScheduling,
            {
                collectCrashedRuns: id => this.sessions.collectCrashedRuns(id),
                findAnsweredClock: (id, incarnation) => this.sessions.findAnsweredClock(id, incarnation),
                noteLeaving: (id, incarnation) => this.sessions.noteLeaving(id, incarnation),
                noteRunEnds: ends => this.sessions.noteRunEnds(ends),
            },
            new TargetClaimVerifier(
                containedClient,
                {
                    read: id => this.sessions.readFencingToken(id, leadership.readFencingToken()),
                    take: target => this.sessions.takeFencingToken(target, leadership.readFencingToken()),
                },
                clock,
            ),
        );
        const vmLeases = new VmLeaseTracker({
            leadership,
            vms,
            clock,
            log,
            holder: settings.node.name,
            holderLeaseMs: settings.vms.holder_lease_ms,
        });
        this.sessions = new TargetSessions({
            leadership,
            client,
            reports: this.targetReports,
            clock,
            log,
            maxLeaseMs: settings.tasks.max_lease_ms,
            readUtilization: () => dependencies.utilization.readUtilization(),
            findTargetEnding: (target, since) => this.findTargetEnding(target, vmLeases, since),
            stalledTasks: this.stalledTasks,
            mayEjectSlow: ({ pool }) => this.sessions.isEjectionAllowed(pool),
            estimateTask: task => this.computeTaskMs(leadership.readFleet(), task),
            findTicket: (task, target) => this.tickets.findTicket(parseStepKey(task), target) ?? "",
            handleRejectedTicket: (task, target) => this.tickets.dropTicket(parseStepKey(task), target),
            handleUnansweredRequest: target => {
                const work = { work: WorkKind.ReachabilityCheck, subject: target.zone };
                startContained(createFaultListener(log), work, () => this.sessions.checkZoneReachable(target));
            },
            startScheduling,
            noteRunBegun: task => this.begunJobs.noteRun(task),
            handleRunEnd: (task, how, durationMs) => this.noteRunEnd(leadership.readFleet(), task, how, durationMs),
            noteEnds: (count, durationMs) => dependencies.load.noteEnds(count, durationMs),
        }, (work, run) => dependencies.load.measure(work, run));
        this.balancer = new PoolBalancer({
            leadership,
            vmLeases,
            vms,
            isInMaintenance: vm => this.maintenance.isInMaintenance(vm),
            isUsable: target => this.sessions.find(target)?.isUsable() === true,
            isEjected: target => this.sessions.find(target)?.isEjected() === true,
            readLateDemands: () => this.scheduler.readLateDemands(),
            closeVms: (fleet, pools, moves) => this.consolidator.closeVms(fleet, pools, moves),
            openVms: () => this.consolidator.openVms(),
            log,
            measure: (work, run) => dependencies.load.measure(work, run),
            clock,
            moveMs: settings.vms.move_s * msPerSecond,
        });
        this.consolidator = new VmConsolidator({
            sessions: this.sessions,
            mayLeave: ({ id, vm, state }) =>
                vm !== "" && state === ReportedTargetState.Ready && this.sessions.find(id)?.isUsable() === true
                && !this.maintenance.isInMaintenance(vm) && !this.balancer.isMoving(vm)
                && vmLeases.isLeaseAvailable(vm),
            countStartsLeft: (fleet, target) =>
                this.isCordoned(fleet, target) ? 0 : this.sessions.find(target)?.countStartsLeft() ?? 0,
            estimator: this.estimator,
            log,
            clock,
        });
        this.maintenance = new MaintenanceRunner({
            leadership,
            sessions: this.sessions,
            vmLeases,
            vms,
            isMoving: vm => this.balancer.isMoving(vm),
            isClosed: vm => this.consolidator.isClosed(vm),
            log,
            clock,
            maintenanceMs: settings.vms.upkeep_s * msPerSecond,
        });
        this.jobStateBudget = new JobStateBudget(settings.limits.job_state_mb * bytesPerMegabyte, clock);
        this.tickets = new PlacementTicketFetcher({ service: advice, clock, log, startScheduling });
        this.scheduler = new Scheduler({
            leadership,
            tickets: this.tickets,
            sessions: this.sessions,
            estimator: this.estimator,
            isCordoned: target => this.isCordoned(leadership.readFleet(), target),
            isMemoryFull: fleet => this.jobStateBudget.isFull(fleet),
            begunJobs: this.begunJobs,
            log,
            metrics: dependencies.metrics,
            load: dependencies.load,
            clock,
            keepStateMs: settings.tasks.keep_state_s * msPerSecond,
        });
    }

    /**
     * Builds the handlers of the calls that only the leader serves.
     * @param members - handlers for keepers that join as members and for processes that look for the leader
     * @returns the handlers by call
     */
    buildHandlers(members: Pick<FleetHandlers, "join" | "findLeader" | "depart">): FleetHandlers {
        const { settings, leadership, log } = this.dependencies;
        const { keep_state_s: keepStateS } = settings.tasks;
        const jobs = new JobCallHandler(leadership, log, this.jobStateBudget, this.begunJobs, keepStateS, job => {
            if (job !== undefined) {
                this.estimator.noteJob(job);
            }
            this.scheduler.startRound();
        });
        const configuration = new ConfigurationHandler(leadership, log);
        const maintenanceWaves = new MaintenanceWaveHandler(leadership, log);
        return {
            job: call => jobs.handleCall(call),
            putConfiguration: request => configuration.handlePut(request),
            readConfiguration: () => configuration.handleRead(),
            report: report => this.targetReports.handleReport(report),
            reports: request => this.targetReports.handleReports(request),
            leave: request => this.targetReports.handleLeave(request),
            startUpkeep: request => maintenanceWaves.handleStart(request),
            readUpkeep: request => maintenanceWaves.handleRead(request),
            ping: () =>
                leadership.serveCall(async () => ({
                    hasConfiguration: leadership.readFleet().configuration !== undefined,
                    keepers: leadership.listVoters(),
                })),
            ...members,
        };
    }

    /**
     * Lists the children of the supervisor tree.
     * @returns the children, in the order in which they are started
     */
    listChildren(): ChildSpec[] {
        const { leadership, clock, log } = this.dependencies;
        return [
            { name: "scheduler", create: () => this.scheduler },
            { name: "upkeep-runner", create: () => this.maintenance },
            { name: "pool-balancer", create: () => this.balancer },
            { name: "pace-controller", create: () => new PaceController(leadership, this.sessions, log, clock) },
        ];
    }

    /** Starts a scheduling round. */
    startScheduling(): void {
        this.scheduler.startRound();
    }

    /** Tells whether nothing may be started on a target, as its VM is being drained, moved or emptied for a move. */
    private isCordoned(fleet: FleetState, target: string): boolean {
        const vm = fleet.targets.get(target)?.vm ?? "";
        return this.maintenance.isDraining(target) || this.balancer.isMoving(vm) || this.consolidator.isClosed(vm);
    }

    private findTargetEnding(
        target: TargetRecord,
        vmLeases: VmLeaseTracker,
        since: number,
    ): TargetEnding | undefined {
        const ending = target.vm === "" ? undefined : findTargetEnding(target, vmLeases.findVm(target.vm, since));
        if (ending !== TargetEnding.Stopped) {
            return ending;
        }
        const { targets } = this.dependencies.leadership.readFleet();
        const views = new Map(vmLeases.readVms().map(view => [view.vm, view]));
        this.sharedFailures.dropRemoved(id => targets.has(id));
        const isShared = this.sharedFailures.isShared(target, [...targets.values()], id => {
            const peer = targets.get(id);
            const view = views.get(peer?.vm ?? "");
            return peer !== undefined && view !== undefined && findTargetEnding(peer, view) !== undefined;
        });
        return isShared ? TargetEnding.SharedFailure : ending;
    }

    /**
     * Estimates the duration of a task, milliseconds. Returns `undefined` while too few runs have been measured, or
     * when durations differ between healthy targets, for example because tasks are slower far from their data.
     */
    private computeTaskMs(fleet: FleetState, task: string): number | undefined {
        const key = decodeTaskKey(task);
        const job = key === undefined ? undefined : fleet.jobs.get(key.job);
        const step = key === undefined ? undefined : job?.steps[key.step];
        const isComparable = step !== undefined && !step.isLongRunning && !step.isGang && !step.isSameRack
            && step.dataRack === undefined;
        return job === undefined || !isComparable || !this.estimator.isCalibrated(job, step)
            ? undefined
            : this.estimator.computeTaskMs(job, step);
    }

    private noteRunEnd(fleet: FleetState, task: string, how: RunOutcome, durationMs: number | undefined): void {
        const key = decodeTaskKey(task);
        const job = key === undefined ? undefined : fleet.jobs.get(key.job);
        if (key === undefined || job === undefined) {
            return;
        }
        const step = job.steps[key.step];
        if (how === RunOutcome.Done && step !== undefined && durationMs !== undefined) {
            this.estimator.noteRun(job, step, durationMs);
        }
        if (isJobFinished(job)) {
            this.stalledTasks.dropEnded(other => fleet.activeJobs.has(decodeTaskKey(other)?.job ?? ""));
            const afterMs = job.endedAtMs - job.acceptedAtMs;
            this.dependencies.log.record(DecisionKind.JobEnded, {
                job: job.id,
                queue: job.queue,
                phase: job.phase,
                afterMs,
            });
        }
    }
}
