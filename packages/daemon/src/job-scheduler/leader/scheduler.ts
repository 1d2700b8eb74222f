import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { RecordStartsCommand } from "@daisylock/core/control/record-starts-command.js";
import { countJobBytes } from "@daisylock/core/fleet/count-job-bytes.js";
import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";
import { collectRunsOfFinishedJobs } from "@daisylock/core/jobs/collect-runs-of-finished-jobs.js";
import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { encodeTaskKey } from "@daisylock/core/jobs/encode-task-key.js";
import { isJobFinished } from "@daisylock/core/jobs/is-job-finished.js";
import type { TaskStart } from "@daisylock/core/jobs/task-start.js";
import { buildPlacementTargets } from "@daisylock/core/placement/build-placement-targets.js";
import { collectLeastNeeds } from "@daisylock/core/placement/collect-least-needs.js";
import { computePlacementRefusal } from "@daisylock/core/placement/compute-placement-refusal.js";
import { dropTasks } from "@daisylock/core/placement/drop-tasks.js";
import { encodeStepKey } from "@daisylock/core/placement/encode-step-key.js";
import { parseStepKey } from "@daisylock/core/placement/parse-step-key.js";
import type { PlacementTarget } from "@daisylock/core/placement/placement-target.js";
import { planStarts } from "@daisylock/core/placement/plan-starts.js";
import { StartsUnderWay } from "@daisylock/core/placement/starts-under-way.js";
import { collectCandidates } from "@daisylock/core/queueing/collect-candidates.js";
import { collectLateDemands } from "@daisylock/core/queueing/collect-late-demands.js";
import { collectPoolLoads } from "@daisylock/core/queueing/collect-pool-loads.js";
import { computeDueTime } from "@daisylock/core/queueing/compute-due-time.js";
import { computePoolTargetSummary } from "@daisylock/core/queueing/compute-pool-target-summary.js";
import { computeUrgency } from "@daisylock/core/queueing/compute-urgency.js";
import { listLongestWaiting } from "@daisylock/core/queueing/list-longest-waiting.js";
import { PlacementCounter } from "@daisylock/core/queueing/placement-counter.js";
import type { StepCandidate } from "@daisylock/core/queueing/step-candidate.js";
import { TargetExclusion } from "@daisylock/core/queueing/target-exclusion.js";
import type { TargetStatus } from "@daisylock/core/queueing/target-status.js";
import type { WorkEstimator } from "@daisylock/core/queueing/work-estimator.js";

import { readPool } from "@daisylock/core/queueing/read-pool.js";
import type { Clock } from "../../clock/clock.js";
import { EventLoopTurns } from "../../concurrency/event-loop-turns.js";
import type { FaultListener } from "../../containment/fault-listener.js";
import { startContained } from "../../containment/start-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import { MetricName } from "../../metrics/metric-name.js";
import type { Metrics } from "../../metrics/metrics.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { createFaultListener } from "../logging/create-fault-listener.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { BegunJobRegistry } from "./begun-job-registry.js";
import type { Leadership } from "./leadership.js";
import type { LoadMeter } from "./load-meter.js";
import type { PlacementTicketFetcher } from "./placement-ticket-fetcher.js";
import type { TargetSessions } from "./target-sessions.js";

/** Longest time between two rounds, milliseconds, as scheduled occurrences become due without an event. */
const intervalMs = 50;
/** Shortest time from a round that proposed starts to the next one, milliseconds, as each proposal costs an entry of the log. */
const proposalIntervalMs = 20;
/** Time after a round without another one, as a multiple of its duration, so that rounds leave time for what they started. */
const pauseFactor = 10;
const maxPauseMs = 100;
/** Number of commands with starts whose commit may be under way. */
const maxProposals = 8;
/** Number of starts from which a round plans no further step; keeps each entry of the replicated log small. */
const maxStartsPerRound = 200;
const followerIntervalMs = 100;
/** Time between two deletions of ended jobs, milliseconds. */
const dropIntervalMs = 2_000;

/** Longest time for which only this process knows that a job has begun, milliseconds. */
const begunJobsIntervalMs = 1_000;

/** Time between two log lines about the load of a pool, milliseconds. */
const loadLogIntervalMs = 1_000;
/** Time for which a task waits before a log line tells why, milliseconds. */
const loggedWaitMs = 1_000;

/** Dependencies of the scheduler. */
interface SchedulerDependencies {
    readonly leadership: Leadership;
    readonly sessions: TargetSessions;
    readonly estimator: WorkEstimator;
    readonly tickets: PlacementTicketFetcher;
    /** Whether a target is cordoned because its VM is being drained or moved. */
    readonly isCordoned: (target: string) => boolean;
    /** Whether jobs under way may not begin further occurrences. */
    readonly isMemoryFull: (fleet: FleetState) => boolean;
    readonly begunJobs: Pick<BegunJobRegistry, "listUnrecorded">;
    readonly log: DecisionLog;
    readonly metrics: Pick<Metrics, "recordTime">;
    readonly load: LoadMeter;
    readonly clock: Clock;
    /** Time for which the state of an ended job is kept, milliseconds. */
    readonly keepStateMs: number;
}

/**
 * Starts and stops tasks while this process is the active leader. A start is committed before its request is sent; rounds
 * go on while it is being committed.
 */
export class Scheduler extends PeriodicWorker {
    override readonly name = "scheduler";
    private readonly placementCounter = new PlacementCounter();
    private readonly startsUnderWay = new StartsUnderWay();
    private readonly noteFault: FaultListener;
    private readonly sendTurns: EventLoopTurns;
    /** Number of commands with starts whose commit is under way. */
    private proposals = 0;
    /** Monotonic milliseconds. */
    private nextRoundAt = 0;
    private lateDemands: ReadonlyMap<string, number> = new Map();
    /** Targets by pool as the last round left them, which tells why it has not placed a task. */
    private lastPools: ReadonlyMap<string, readonly PlacementTarget[]> = new Map();
    private nextDropAt = 0;
    /** Monotonic milliseconds. */
    private nextBegunJobsAt = 0;
    private nextLoadLogAt = 0;
    private isLeading = false;
    /** Term in which this process last led. */
    private ledTerm = 0;
    /** When it last ceased to be the active leader, monotonic milliseconds. */
    private ceasedAt = 0;

    /**
     * @param dependencies - leadership, sessions, estimator, tickets, clock and log
     */
    constructor(private readonly dependencies: SchedulerDependencies) {
        super(dependencies.clock);
        this.noteFault = createFaultListener(dependencies.log);
        this.sendTurns = new EventLoopTurns(dependencies.clock);
    }

    /**
     * Reads what waiting tasks requested in the last round that cannot be on time any more.
     * @returns thousandths of a core by pool
     */
    readLateDemands(): ReadonlyMap<string, number> {
        return this.lateDemands;
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        const { leadership, sessions, clock } = this.dependencies;
        this.noteLeadership(leadership.isActive());
        if (!this.isLeading) {
            return followerIntervalMs;
        }
        if (this.proposals >= maxProposals) {
            // The end of a commit begins the next round.
            return intervalMs;
        }
        const pauseMs = this.nextRoundAt - clock.readMonotonic();
        if (pauseMs > 0) {
            return pauseMs;
        }
        const fleet = leadership.readFleet();
        sessions.update(fleet.targets, leadership.readFencingToken());
        this.stopEndedJobs(fleet);
        this.startTasks(fleet);
        this.recordBegunJobs();
        this.writeLoadLines(fleet);
        this.dropEndedJobs();
        return intervalMs;
    }

    protected override *releaseResources(): Generator<unknown, void, unknown> {
        this.dependencies.sessions.closeAll();
    }

    private noteLeadership(isActive: boolean): void {
        const { leadership, sessions } = this.dependencies;
        if (isActive !== this.isLeading) {
            this.isLeading = isActive;
            this.recordLeadership(isActive);
        }
        if (!isActive) {
            sessions.closeEarlier(leadership.readFencingToken());
        }
    }

    /** Logs a change of leadership. One that returns within its term had only lapsed: no other process led meanwhile. */
    private recordLeadership(isActive: boolean): void {
        const { leadership, clock, log } = this.dependencies;
        const now = clock.readMonotonic();
        const term = leadership.readFencingToken();
        const isSameTerm = term === this.ledTerm;
        if (isActive) {
            const lapsedMs = isSameTerm ? Math.round(now - this.ceasedAt) : undefined;
            log.record(DecisionKind.LeadershipGained, { term, lapsedMs });
            this.ledTerm = term;
        }
        else {
            const { quorumMs, resumeMs } = leadership.readLeaseAges();
            log.record(DecisionKind.LeadershipLost, {
                term,
                sameTerm: isSameTerm,
                quorumMs: computeWholeMs(quorumMs),
                resumeMs: computeWholeMs(resumeMs),
            });
            this.ceasedAt = now;
        }
    }

    private startTasks(fleet: FleetState): void {
        const { clock, load, metrics } = this.dependencies;
        const startedAt = clock.readMonotonic();
        const view = this.startsUnderWay.buildView(fleet);
        const candidates = this.collectCandidates(view);
        this.lateDemands = collectLateDemands(candidates);
        this.lastPools = new Map();
        const startable = this.dropBlocked(candidates);
        const starts = startable.length === 0 ? [] : this.planRound(view, startable);
        const endedAt = clock.readMonotonic();
        const durationMs = endedAt - startedAt;
        load.noteRound(durationMs, starts.length >= maxStartsPerRound);
        metrics.recordTime(MetricName.RoundTime, durationMs);
        const pauseMs = Math.min(maxPauseMs, durationMs * pauseFactor);
        this.nextRoundAt = endedAt + (starts.length === 0 ? pauseMs : Math.max(proposalIntervalMs, pauseMs));
        if (starts.length > 0) {
            const steps = collectStartedSteps(candidates, starts);
            const work = { work: WorkKind.Placement, subject: `${starts.length} starts` };
            startContained(this.noteFault, work, () => this.recordStarts(starts, steps));
        }
    }

    /** Commits planned starts and sends those that were recorded. */
    private async recordStarts(
        starts: readonly TaskStart[],
        steps: ReadonlyMap<string, StepCandidate>,
    ): Promise<void> {
        const { leadership, clock, load } = this.dependencies;
        const proposedAt = clock.readMonotonic();
        this.startsUnderWay.addStarts(starts);
        this.proposals += 1;
        let recorded: readonly TaskStart[] | undefined;
        try {
            recorded = await leadership.recordCommand(this.buildStartsCommand(starts));
        }
        finally {
            this.proposals -= 1;
            this.startsUnderWay.removeStarts(starts);
        }
        load.noteStarts(recorded?.length ?? 0, clock.readMonotonic() - proposedAt);
        // Commands that are committed together would otherwise hold up heartbeats until all of their starts are sent.
        await this.sendTurns.takeTurn();
        recorded?.forEach(start => this.sendStart(start, steps.get(parseStepKey(start.task))));
        this.startRound();
    }

    private buildStartsCommand(starts: readonly TaskStart[]): RecordStartsCommand {
        const { begunJobs, clock } = this.dependencies;
        this.nextBegunJobsAt = clock.readMonotonic() + begunJobsIntervalMs;
        return { kind: CommandKind.RecordStarts, starts, begunJobs: begunJobs.listUnrecorded() };
    }

    /** Records which jobs have begun, if no start has had it recorded lately, so that the next leader knows it. */
    private recordBegunJobs(): void {
        const { leadership, begunJobs, clock } = this.dependencies;
        if (clock.readMonotonic() >= this.nextBegunJobsAt && begunJobs.listUnrecorded().length > 0) {
            const command = this.buildStartsCommand([]);
            const work = { work: WorkKind.Placement, subject: "begun jobs" };
            startContained(this.noteFault, work, () => leadership.recordCommand(command));
        }
    }

    private sendStart({ task, run, target }: TaskStart, step: StepCandidate | undefined): void {
        const { leadership, sessions, log } = this.dependencies;
        if (step !== undefined) {
            this.placementCounter.noteStart(readPool(step), computeUrgency(step));
        }
        log.record(DecisionKind.TaskPlaced, {
            task,
            run,
            target,
            waitMs: this.computeStartWaitMs(leadership.readFleet(), task, run),
            late: step !== undefined && step.slackMs < 0 && !step.definition.isLongRunning,
        });
        sessions.find(target)?.startTask(task, run);
    }

    private collectCandidates(fleet: FleetState): StepCandidate[] {
        const { clock, estimator, isMemoryFull } = this.dependencies;
        return this.startsUnderWay.dropFrom(
            collectCandidates(fleet, clock.readWall(), estimator, isMemoryFull(fleet)),
        );
    }

    /** Leaves out the tasks of which a run that was released goes on. */
    private dropBlocked(candidates: readonly StepCandidate[]): readonly StepCandidate[] {
        const blocked = this.dependencies.sessions.collectBlockedTasks();
        if (blocked.size === 0) {
            return candidates;
        }
        return dropTasks(candidates, new Set([...blocked].map(task => task.slice(0, task.indexOf(".")))), blocked);
    }

    private planRound(fleet: FleetState, candidates: readonly StepCandidate[]): readonly TaskStart[] {
        const { sessions, tickets, isCordoned } = this.dependencies;
        const underWay = this.startsUnderWay;
        const countStartsLeft = (id: string): number => {
            const startsLeft = isCordoned(id) ? 0 : sessions.find(id)?.countStartsLeft() ?? 0;
            return Math.max(0, startsLeft - underWay.countOnTarget(id));
        };
        const pools = buildPlacementTargets(fleet, countStartsLeft, collectLeastNeeds(fleet, candidates));
        this.lastPools = pools;
        tickets.updateTickets(candidates, pools);
        return planStarts(fleet, candidates, pools, {
            maxStarts: maxStartsPerRound,
            isAdvised: (step, target) => tickets.findTicket(step, target) !== undefined,
            probation: {
                isOnProbation: (task, run, target) => sessions.find(target)?.isOnProbation(task, run) !== false,
                findStartTarget: task => underWay.findTarget(task),
                countOnProbation: target =>
                    (sessions.find(target)?.countOnProbation() ?? 0) + underWay.countOnTarget(target),
                noteKept: target => sessions.find(target)?.checkProbation(),
            },
        });
    }

    /**
     * Computes how long a task of a job has waited since the job was accepted, milliseconds. Returns `undefined` for
     * restarts, jobs with scheduled occurrences and steps that wait for others, as these do not start on acceptance.
     */
    private computeStartWaitMs(fleet: FleetState, task: string, run: number): number | undefined {
        const key = decodeTaskKey(task);
        const job = fleet.jobs.get(key?.job ?? "");
        const isFirst = run === 1 && job?.times === 0 && job.steps[key?.step ?? 0]?.after.length === 0;
        return isFirst ? this.dependencies.clock.readWall() - job.acceptedAtMs : undefined;
    }

    /** Logs one line per second about this process and one per pool, which later tells why a job started late or ran slowly. */
    private writeLoadLines(fleet: FleetState): void {
        const { clock, log, load } = this.dependencies;
        const now = clock.readMonotonic();
        if (now < this.nextLoadLogAt) {
            return;
        }
        this.nextLoadLogAt = now + loadLogIntervalMs;
        log.record(DecisionKind.LeaderLoad, {
            ...load.takeInterval(),
            jobs: fleet.jobs.size,
            jobBytes: countJobBytes(fleet),
        });
        const view = this.startsUnderWay.buildView(fleet);
        const candidates = this.collectCandidates(view);
        this.writeWaitLines(view, candidates);
        for (const poolLoad of collectPoolLoads(view, candidates)) {
            const { excluded, ...summary } = computePoolTargetSummary(
                fleet,
                poolLoad.pool,
                target => this.readTargetStatus(target),
            );
            log.record(DecisionKind.PoolLoad, {
                ...poolLoad,
                ...this.placementCounter.takeCounts(poolLoad.pool),
                ...summary,
                ...excluded,
            });
        }
    }

    /** Logs why the longest waiting task of each pool is not placed. */
    private writeWaitLines(fleet: FleetState, candidates: readonly StepCandidate[]): void {
        const { clock, log, tickets, sessions } = this.dependencies;
        const isAdvised = (step: string, target: string) => tickets.findTicket(step, target) !== undefined;
        for (const candidate of listLongestWaiting(candidates)) {
            const { job, occurrence, step, waiting } = candidate;
            const waitedMs = Math.round(clock.readWall() - computeDueTime(job, occurrence));
            if (waitedMs >= loggedWaitMs) {
                const task = encodeTaskKey({ job: job.id, occurrence, step, index: waiting[0] ?? 0 });
                log.record(DecisionKind.TaskWaiting, {
                    task,
                    pool: readPool(candidate),
                    waitedMs,
                    waiting: waiting.length,
                    ...computePlacementRefusal(fleet, candidate, this.lastPools, isAdvised),
                    blockedBy: sessions.findBlocker(task),
                });
            }
        }
    }

    private readTargetStatus(target: string): TargetStatus {
        const { sessions, isCordoned } = this.dependencies;
        const status = sessions.find(target)?.readStatus()
            ?? { exclusion: TargetExclusion.Unsynced, unconfirmedRuns: [] };
        return isCordoned(target) ? { ...status, exclusion: TargetExclusion.Cordoned } : status;
    }

    private stopEndedJobs(fleet: FleetState): void {
        for (const { task, run, target } of collectRunsOfFinishedJobs(fleet)) {
            this.dependencies.sessions.find(target)?.stopTask(task, run);
        }
    }

    private dropEndedJobs(): void {
        const { leadership, clock, keepStateMs } = this.dependencies;
        const endedBeforeMs = clock.readWall() - keepStateMs;
        if (clock.readMonotonic() < this.nextDropAt) {
            return;
        }
        this.nextDropAt = clock.readMonotonic() + dropIntervalMs;
        const jobs = [...leadership.readFleet().jobs.values()];
        if (jobs.some(job => isJobFinished(job) && job.placedCount === 0 && job.endedAtMs < endedBeforeMs)) {
            const work = { work: WorkKind.Placement, subject: "ended jobs" };
            const command = { kind: CommandKind.DropJobs as const, endedBeforeMs };
            startContained(this.noteFault, work, () => leadership.recordCommand(command));
        }
    }
}

function computeWholeMs(ms: number | undefined): number | undefined {
    return ms === undefined ? undefined : Math.round(ms);
}

/** Collects the steps of some starts by their keys. Keys of other steps are not built, as a backlog has thousands. */
function collectStartedSteps(
    candidates: readonly StepCandidate[],
    starts: readonly TaskStart[],
): ReadonlyMap<string, StepCandidate> {
    const jobs = new Set(starts.map(({ task }) => task.slice(0, task.indexOf("."))));
    return new Map(
        candidates.filter(({ job }) => jobs.has(job.id))
            .map(step => [encodeStepKey(step.job.id, step.occurrence, step.step), step]),
    );
}
