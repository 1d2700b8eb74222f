import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { ControlState } from "@daisylock/core/control/control-state.js";
import { countOccurrences } from "@daisylock/core/jobs/count-occurrences.js";
import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { encodeTaskKey } from "@daisylock/core/jobs/encode-task-key.js";
import { findTask } from "@daisylock/core/jobs/find-task.js";
import { isJobFinished } from "@daisylock/core/jobs/is-job-finished.js";
import { JobPhase } from "@daisylock/core/jobs/job-phase.js";
import type { JobStep } from "@daisylock/core/jobs/job-step.js";
import type { Job } from "@daisylock/core/jobs/job.js";
import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import { TaskPhase } from "@daisylock/core/jobs/task-phase.js";
import { listWaitingSteps } from "@daisylock/core/queueing/list-waiting-steps.js";
import { addResources } from "@daisylock/core/resources/add-resources.js";
import { isWithin } from "@daisylock/core/resources/is-within.js";
import { zeroResources } from "@daisylock/core/resources/zero-resources.js";
import { maxRelayAgeMs } from "@daisylock/core/targets/max-relay-age-ms.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";

import Result from "true-myth/result";

import { runGoroutine } from "../../concurrency/run-goroutine.js";
import { ProposeFailureKind } from "../../request-proxy/keeper/propose-failure-kind.js";
import { BegunJobRegistry } from "../leader/begun-job-registry.js";
import { Leadership } from "../leader/leadership.js";
import { LoadMeter } from "../leader/load-meter.js";
import type { PlacementTicketFetcher } from "../leader/placement-ticket-fetcher.js";
import { Scheduler } from "../leader/scheduler.js";
import { StalledTaskRegistry } from "../leader/stalled-task-registry.js";
import { TargetClaimVerifier } from "../leader/target-claim-verifier.js";
import { TargetEnding } from "../leader/target-ending.js";
import { TargetReportHandler } from "../leader/target-report-handler.js";
import { TargetSessions } from "../leader/target-sessions.js";
import { TaskDurationEstimator } from "../leader/task-duration-estimator.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import { RelayBatchClient } from "../relay/relay-batch-client.js";
import { RelayedTargetClient } from "../relay/relayed-target-client.js";
import type { TargetClient } from "../targets/target-client.js";
import { TargetRequestSender } from "../targets/target-request-sender.js";
import { HeldClock } from "./held-clock.js";
import { ManualClock } from "./manual-clock.js";
import { RequestFate } from "./request-fate.js";
import { RunMonitor } from "./run-monitor.js";
import { SimulatedKeeper } from "./simulated-keeper.js";
import { SimulatedRelays } from "./simulated-relays.js";
import { SimulatedTargetClient } from "./simulated-target-client.js";
import { SimulatedTarget } from "./simulated-target.js";
import type { SimulatedWork } from "./simulated-work.js";

const targetCount = 4;
const targetCapacity = { cpu: 4_000, memory: 1_000, gpu: 0 };
/** Clock rate of every other target relative to the leader's: the slowest that the platform allows. */
const slowClockRate = 0.98;
const clockOffsetMs = 500_000;
const heartbeatIntervalMs = 1_000;
/** Delay before a request or heartbeat that the leader has not accepted is sent again, milliseconds. */
const retryDelayMs = 100;
const keepStateMs = 120_000;
/** Time until the VM service has answered a request for its list, milliseconds. */
const vmListMs = 50;
/** Wall clock at the start, milliseconds: long after the first incarnations of the targets have started. */
const startedAtMs = 1_000_000;
/** Number of macrotask rounds within which all goroutines that can proceed have done so. */
const macrotaskRounds = 5;

/** Fault of the network between the leader and one target. */
interface RequestFault {
    readonly fate: RequestFate;
    /** Probability that a request is affected, percent. */
    readonly percent: number;
}

/** A leader with its scheduler and sessions, and simulated targets, on a clock that only the test advances. */
export class SimulatedFleet {
    /** Longest lease that the targets accept, milliseconds. */
    readonly maxLeaseMs = 6_000;
    readonly clock = new ManualClock(macrotaskRounds, startedAtMs);
    readonly roundClock = new HeldClock(this.clock);
    readonly keeper: SimulatedKeeper;
    readonly monitor: RunMonitor;
    readonly targets: readonly SimulatedTarget[];
    readonly relays: SimulatedRelays;
    /** Time for which a target that a task has crashed is down, milliseconds. */
    crashDownMs = 1_500;
    /** Whether targets are judged by the durations that jobs state. */
    areSlowEjected = false;
    /** Whether the VM service tells which targets have ended. */
    isVmServiceUp = false;
    /** The newest log line on a task that waits. */
    lastWaitLine: Parameters<DecisionLog["record"]>[1] | undefined;
    private readonly log = {
        record: (kind, fields) => {
            this.lastWaitLine = kind === DecisionKind.TaskWaiting ? fields : this.lastWaitLine;
        },
    } as Pick<DecisionLog, "record"> as DecisionLog;
    private readonly state: ControlState;
    private readonly targetClient: TargetClient;
    private scheduler: Scheduler;
    private reports: TargetReportHandler;
    private sessions: TargetSessions;
    /** Number of the process that leads. */
    private leaderProcess = 0;
    private readonly requestFaults = new Map<string, RequestFault>();
    private readonly heartbeatDelaysMs = new Map<string, number>();
    /** Until when no heartbeat of a target arrives, monotonic milliseconds. */
    private readonly heartbeatCuts = new Map<string, number>();
    private readonly crashingJobs = new Set<string>();
    private jobCount = 0;
    private heartbeatCount = 0;
    private isStopped = false;

    /**
     * @param random - returns numbers from 0 to below 1
     * @param options - whether other keepers send the leader's requests to targets, whether they take them in batches,
     *     the number of ends that a target lists at a time, whether one that has not answered its session yet executes
     *     requests for its predecessor, and whether late requests are executed within the time in which a relay sends them
     */
    constructor(
        private readonly random: () => number,
        {
            isRelayed = false,
            isBatched = true,
            maxListedEnds = 500,
            areStraysUnbounded = false,
            areRequestsInTime = false,
        } = {},
    ) {
        this.state = buildTestFleet(targetCount, targetCapacity);
        this.keeper = new SimulatedKeeper(this.state, this.clock, random);
        this.monitor = new RunMonitor(
            task => this.isRecordedDone(task),
            task => this.crashingJobs.has(decodeTaskKey(task)?.job ?? task),
        );
        this.targets = [...this.state.fleet.targets.values()].map((record, index) =>
            new SimulatedTarget(record, {
                clock: this.clock,
                clockRate: index % 2 === 0 ? slowClockRate : 1,
                clockOffsetMs: clockOffsetMs * (index + 1),
                maxLeaseMs: this.maxLeaseMs,
                isGuarded: index < targetCount / 2,
                maxListedEnds,
                monitor: this.monitor,
                random,
            })
        );
        this.targets.forEach(target => {
            target.handleCrash = () => this.stopTarget(target, this.crashDownMs);
        });
        const client = new SimulatedTargetClient(
            new Map(this.targets.map(target => [target.record.id, target])),
            this.clock,
            random,
        );
        if (areRequestsInTime) {
            client.maxLateMs = maxRelayAgeMs;
        }
        client.pickFate = id => this.pickFate(id);
        client.isStrayExecuted = ({ record: { id, incarnation } }) =>
            areStraysUnbounded || this.sessions.findAnsweredClock(id, incarnation) !== undefined;
        const sender = new TargetRequestSender(client, () => undefined);
        this.relays = new SimulatedRelays(sender, this.clock, random);
        this.relays.areTakingBatches = isBatched;
        const directory = {
            pickRelay: (target: string) => this.relays.names[target.charCodeAt(1) % this.relays.names.length],
            noteFailure: () => undefined,
        };
        this.targetClient = isRelayed
            ? new RelayedTargetClient(
                sender,
                new RelayBatchClient(this.relays, this.clock),
                this.relays,
                directory,
                this.log,
                this.clock,
            )
            : client;
        [this.reports, this.scheduler, this.sessions] = this.createLeader();
    }

    /** Creates the components of a leader, which know only what is recorded. */
    private createLeader(): [TargetReportHandler, Scheduler, TargetSessions] {
        const { targetClient, log } = this;
        const leadership = new Leadership(this.createKeeperProcess(), 1);
        const begunJobs = new BegunJobRegistry(leadership);
        const startScheduling = () => this.startRound();
        const reports = new TargetReportHandler(
            leadership,
            this.clock,
            log,
            startScheduling,
            {
                collectCrashedRuns: id => sessions.collectCrashedRuns(id),
                findAnsweredClock: (id, incarnation) => sessions.findAnsweredClock(id, incarnation),
                noteLeaving: (id, incarnation) => sessions.noteLeaving(id, incarnation),
                noteRunEnds: ends => sessions.noteRunEnds(ends),
            },
            new TargetClaimVerifier(
                targetClient,
                {
                    read: id => sessions.readFencingToken(id, leadership.readFencingToken()),
                    take: target => sessions.takeFencingToken(target, leadership.readFencingToken()),
                },
                this.clock,
            ),
        );
        const sessions: TargetSessions = new TargetSessions({
            leadership,
            client: targetClient,
            reports,
            clock: this.clock,
            log,
            maxLeaseMs: this.maxLeaseMs,
            readUtilization: () => 0,
            findTargetEnding: ({ id, incarnation }, since) => this.findTargetEnding(id, incarnation, since),
            stalledTasks: new StalledTaskRegistry(),
            mayEjectSlow: ({ pool }) => sessions.isEjectionAllowed(pool),
            estimateTask: task => this.areSlowEjected ? this.readEstimate(task) : undefined,
            findTicket: () => "",
            handleRejectedTicket: () => undefined,
            handleUnansweredRequest: target => void sessions.checkZoneReachable(target),
            startScheduling,
            noteRunBegun: task => begunJobs.noteRun(task),
            handleRunEnd: () => undefined,
            noteEnds: () => undefined,
        });
        const scheduler = new Scheduler({
            metrics: { recordTime: () => undefined },
            load: new LoadMeter(),
            leadership,
            sessions,
            estimator: new TaskDurationEstimator(),
            tickets: { updateTickets: () => undefined } as Partial<PlacementTicketFetcher> as PlacementTicketFetcher,
            isCordoned: () => false,
            isMemoryFull: () => false,
            begunJobs,
            log,
            clock: this.roundClock,
            keepStateMs,
        });
        return [reports, scheduler, sessions];
    }

    /** Creates access to the keeper that ends when the next leader process starts. */
    private createKeeperProcess(): ConstructorParameters<typeof Leadership>[0] {
        const { keeper } = this;
        const process = ++this.leaderProcess;
        const isRunning = () => process === this.leaderProcess;
        return {
            isActiveLeader: () => isRunning() && keeper.isActiveLeader(),
            readLeaseAges: () => keeper.readLeaseAges(),
            readControl: () => keeper.readControl(),
            readView: () => keeper.readView(),
            readTerm: () => keeper.readTerm(),
            countVoters: () => keeper.countVoters(),
            sendCommand: async command =>
                isRunning()
                    ? keeper.sendCommand(command)
                    : Result.err({ kind: ProposeFailureKind.Unknown }),
        };
    }

    /** Starts the scheduler and the heartbeats. */
    start(): void {
        this.startScheduler();
        this.targets.forEach(target => this.sendHeartbeats(target));
    }

    /**
     * Cuts the power of the leader. The next one starts in another process and knows only what is recorded.
     * @param forMs - time without a leader, milliseconds
     */
    stopLeader(forMs: number): void {
        this.scheduler.stop();
        this.keeper.startTerm(forMs);
        [this.reports, this.scheduler, this.sessions] = this.createLeader();
        this.startScheduler();
    }

    private startScheduler(): void {
        runGoroutine(() => this.scheduler.run(), error => {
            if (error !== undefined) {
                this.monitor.violations.push(
                    `the scheduler failed: ${error instanceof Error ? error.message : "unknown error"}`,
                );
            }
        });
    }

    /** Stops the scheduler and closes the sessions. */
    async stop(): Promise<void> {
        this.isStopped = true;
        this.scheduler.stop();
        await this.clock.runFor(0);
    }

    /**
     * Submits a job, and repeats the request until it is accepted.
     * @param work - what its tasks do
     * @param count - number of tasks of each step
     * @param stepCount - number of steps, each of which waits for the one before
     * @returns id of the job
     */
    addJob(work: SimulatedWork, count: number, stepCount: number): string {
        this.jobCount += 1;
        if (work.crashAfterMs !== undefined) {
            this.crashingJobs.add(`j${this.jobCount}`);
        }
        const steps: JobStep[] = Array.from({ length: stepCount }, (_, index) =>
            buildTestStep({
                count,
                needs: work.needs,
                estimateMs: work.estimateMs ?? work.durationMs,
                after: index === 0 ? [] : [index - 1],
                isLongRunning: work.durationMs === 0,
            }));
        void this.sendUntilCommitted({
            kind: CommandKind.SubmitJob,
            id: `j${this.jobCount}`,
            queue: "q-web",
            account: "team",
            request: { spec: JSON.stringify(work), steps, times: 0, startAtMs: 0, intervalMs: 0 },
            atMs: this.clock.readWall(),
        });
        return `j${this.jobCount}`;
    }

    /**
     * Cancels a job, and repeats the request until it is accepted.
     * @param position - position among the accepted jobs, modulo their number
     */
    async stopJob(position: number): Promise<void> {
        const ids = [...this.state.fleet.jobs.keys()];
        const id = ids[position % Math.max(1, ids.length)];
        if (id !== undefined) {
            await this.sendUntilCommitted({ kind: CommandKind.CancelJob, id, atMs: this.clock.readWall() });
        }
    }

    /**
     * Disturbs the requests to a target.
     * @param target - the target
     * @param fault - what happens to which share of the requests
     * @param forMs - duration, milliseconds
     */
    setRequestFault(target: SimulatedTarget, fault: RequestFault, forMs: number): void {
        const { id } = target.record;
        this.requestFaults.set(id, fault);
        this.clock.schedule(forMs, () => {
            if (this.requestFaults.get(id) === fault) {
                this.requestFaults.delete(id);
            }
        });
    }

    /**
     * Delays the heartbeats of a target.
     * @param target - the target
     * @param delayMs - delay of each heartbeat, milliseconds
     */
    setHeartbeatDelay(target: SimulatedTarget, delayMs: number): void {
        this.heartbeatDelaysMs.set(target.record.id, delayMs);
    }

    /**
     * Cuts off the heartbeats of a target, which are repeated until they arrive.
     * @param target - the target
     * @param forMs - duration, milliseconds
     */
    cutHeartbeats(target: SimulatedTarget, forMs: number): void {
        this.heartbeatCuts.set(target.record.id, this.clock.readMonotonic() + forMs);
    }

    /**
     * Crashes a target, which starts again as a new incarnation under the same id.
     * @param target - the target
     * @param downMs - time until it starts, milliseconds
     */
    stopTarget(target: SimulatedTarget, downMs: number): void {
        if (target.isDown) {
            return;
        }
        target.stop();
        this.clock.schedule(downMs, () => {
            target.start();
            this.sendHeartbeat(target);
        });
    }

    /**
     * Releases the runs that are recorded on a target, as if the leader took its lease for expired too early.
     * @param target - the target
     */
    releaseRuns({ record: { id } }: SimulatedTarget): void {
        const ends = [...this.state.fleet.targetLoads.get(id)?.runs ?? []].map(([task, run]) => ({
            task,
            run,
            target: id,
            how: RunOutcome.LeaseExpired,
            saved: "",
        }));
        void this.sendUntilCommitted({ kind: CommandKind.RecordEnds, ends, atMs: this.clock.readWall() });
    }

    /**
     * Sends a heartbeat of an untrusted sender, which is not repeated.
     * @param target - the target that it resembles
     * @param fields - fields of the record that differ
     * @param sequence - number of the heartbeat
     * @param clockMs - reading of a clock in the heartbeat, milliseconds
     */
    sendForeignReport(
        target: SimulatedTarget,
        fields: Partial<TargetRecord>,
        sequence: number,
        clockMs: number | undefined,
    ): void {
        const record = { ...target.record, ...fields };
        void this.reports.handleReport({ record, sequence, clockMs, remainingMs: undefined });
    }

    /**
     * Sends an announcement of an untrusted sender that a target is leaving.
     * @param target - the target
     * @param incarnation - the incarnation that it names
     */
    sendForeignLeave(target: SimulatedTarget, incarnation: number | undefined): void {
        void this.reports.handleLeave({ id: target.record.id, incarnation });
    }

    /** Ends all faults, except for requests and heartbeats that are already delayed. */
    stopFaults(): void {
        this.relays.stopFaults();
        this.requestFaults.clear();
        this.heartbeatDelaysMs.clear();
        this.heartbeatCuts.clear();
        this.keeper.busyProbability = 0;
        this.keeper.unknownProbability = 0;
        this.roundClock.setHold(0);
        for (const target of this.targets) {
            target.refusal = undefined;
            target.setCapacity(targetCapacity);
            target.failingRuns = 0;
            target.stallingRuns = 0;
        }
    }

    /**
     * Describes what is left to do.
     * @returns one line per job that should have ended, task that should be running, and run that should have ended
     */
    describeRemainder(): string[] {
        const alive = this.monitor.listAliveRuns();
        const placed = [...this.state.fleet.targetLoads].flatMap(([target, { runs }]) =>
            [...runs].map(([task, run]) => ({ target, task, run }))
        );
        const placedTasks = new Set(placed.map(({ task }) => task));
        return [
            ...[...this.state.fleet.jobs.values()].flatMap(job => this.describeJob(job)),
            ...placed.filter(({ target, task, run }) =>
                alive.get(task)?.target !== target || alive.get(task)?.run !== run
            ).map(({ target, task, run }) => `run ${run} of ${task} is placed on ${target} and not alive there`),
            ...[...alive.keys()].filter(task => !placedTasks.has(task)).map(task => `${task} is alive and not placed`),
        ];
    }

    private describeJob(job: Job): string[] {
        const isLongRunning = job.steps.some(step => step.isLongRunning);
        const tasks = [...job.occurrences.values()].flat().flatMap(step => step.tasks);
        if (job.phase === JobPhase.Failed) {
            return this.isFailureExplained(job) ? [] : [`${job.id} failed without failed runs`];
        }
        if (isJobFinished(job)) {
            return [];
        }
        return isLongRunning && job.begunCount === countOccurrences(job)
                && tasks.every(({ phase }) => phase === TaskPhase.Placed)
            ? []
            : [`${job.id} is ${job.phase}`];
    }

    private isFailureExplained({ id, maxAttempts }: Job): boolean {
        return this.monitor.listFailedTasks(maxAttempts).some(task => decodeTaskKey(task)?.job === id)
            || this.monitor.listCrashingTasks().some(task => decodeTaskKey(task)?.job === id);
    }

    private isRecordedDone(task: string): boolean {
        const key = decodeTaskKey(task);
        const job = key === undefined ? undefined : this.state.fleet.jobs.get(key.job);
        return key === undefined || job === undefined || isJobFinished(job)
            || findTask(job, key)?.phase === TaskPhase.Done;
    }

    private readEstimate(task: string): number | undefined {
        const key = decodeTaskKey(task);
        return key === undefined ? undefined : this.state.fleet.jobs.get(key.job)?.steps[key.step]?.estimateMs;
    }

    /**
     * Lists the tasks that wait although they fit on a target that is up, and less than half of the capacity of all targets is
     * in use.
     * @returns encoded task keys
     */
    listWaitingBesideRoom(): string[] {
        const { fleet } = this.state;
        const frees = this.targets.filter(({ isDown }) => !isDown)
            .map(({ record: { id, capacity } }) =>
                addResources(capacity, fleet.targetLoads.get(id)?.used ?? zeroResources, -1)
            );
        if (frees.reduce((sum, { cpu }) => sum + cpu, 0) < targetCount * targetCapacity.cpu / 2) {
            return [];
        }
        return [...fleet.jobs.values()].filter(job => !isJobFinished(job)).flatMap(job =>
            listWaitingSteps(job, 0).filter(({ definition }) => frees.some(free => isWithin(definition.needs, free)))
                .flatMap(({ step, waiting }) =>
                    waiting.map(index => encodeTaskKey({ job: job.id, occurrence: 0, step, index }))
                )
        );
    }

    /**
     * Reads the phase of a job.
     * @param id - id of the job
     * @returns the phase; `undefined` for an unknown job
     */
    readJobPhase(id: string): JobPhase | undefined {
        return this.state.fleet.jobs.get(id)?.phase;
    }

    private findTargetEnding(id: string, incarnation: number, since: number): TargetEnding | undefined {
        const target = this.targets.find(({ record }) => record.id === id);
        const isRunning = target?.isDown === false && target.record.incarnation === incarnation;
        const isListed = this.isVmServiceUp && this.clock.readMonotonic() - since >= vmListMs;
        return isListed && !isRunning ? TargetEnding.Stopped : undefined;
    }

    private startRound(): void {
        if (!this.roundClock.isHeld()) {
            this.scheduler.startRound();
        }
    }

    private pickFate(id: string): RequestFate {
        const fault = this.requestFaults.get(id);
        return fault !== undefined && this.random() * 100 < fault.percent ? fault.fate : RequestFate.Answered;
    }

    private async sendUntilCommitted(command: Parameters<SimulatedKeeper["sendCommand"]>[0]): Promise<void> {
        while ((await this.keeper.sendCommand(command)).isErr) {
            await new Promise<void>(resolve => this.clock.schedule(retryDelayMs, resolve));
        }
        this.startRound();
    }

    private sendHeartbeats(target: SimulatedTarget): void {
        if (!this.isStopped) {
            this.sendHeartbeat(target);
            this.clock.schedule(heartbeatIntervalMs, () => this.sendHeartbeats(target));
        }
    }

    /** Sends a heartbeat, and repeats it until the leader accepts it. */
    private sendHeartbeat(target: SimulatedTarget): void {
        const { record } = target;
        if (target.isDown) {
            return;
        }
        this.heartbeatCount += 1;
        const report = { record, sequence: this.heartbeatCount, clockMs: target.readClock(), remainingMs: undefined };
        const send = async () => {
            const isLost = this.requestFaults.get(record.id)?.percent === 100
                || this.clock.readMonotonic() < (this.heartbeatCuts.get(record.id) ?? 0);
            if (isLost || !(await this.reports.handleReport(report)).isLeader) {
                this.clock.schedule(retryDelayMs, () => void send());
                return;
            }
            target.noteReported(record.capacity);
        };
        this.clock.schedule(this.heartbeatDelaysMs.get(record.id) ?? 0, () => void send());
    }
}
