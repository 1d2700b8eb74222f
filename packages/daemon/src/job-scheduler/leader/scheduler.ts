import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { countJobBytes } from "@daisylock/core/fleet/count-job-bytes.js";
import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";
import { collectRunsOfFinishedJobs } from "@daisylock/core/jobs/collect-runs-of-finished-jobs.js";
import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { isJobFinished } from "@daisylock/core/jobs/is-job-finished.js";
import type { TaskStart } from "@daisylock/core/jobs/task-start.js";
import { buildPlacementTargets } from "@daisylock/core/placement/build-placement-targets.js";
import { encodeStepKey } from "@daisylock/core/placement/encode-step-key.js";
import { parseStepKey } from "@daisylock/core/placement/parse-step-key.js";
import { planStarts } from "@daisylock/core/placement/plan-starts.js";
import { collectCandidates } from "@daisylock/core/queueing/collect-candidates.js";
import { collectPoolLoads } from "@daisylock/core/queueing/collect-pool-loads.js";
import { computePoolTargetSummary } from "@daisylock/core/queueing/compute-pool-target-summary.js";
import { computeUrgency } from "@daisylock/core/queueing/compute-urgency.js";
import { PlacementCounter } from "@daisylock/core/queueing/placement-counter.js";
import type { StepCandidate } from "@daisylock/core/queueing/step-candidate.js";
import { TargetExclusion } from "@daisylock/core/queueing/target-exclusion.js";
import type { TargetStatus } from "@daisylock/core/queueing/target-status.js";
import type { WorkEstimator } from "@daisylock/core/queueing/work-estimator.js";

import { readPool } from "@daisylock/core/queueing/read-pool.js";
import type { Clock } from "../../clock/clock.js";
import { waitFor } from "../../concurrency/wait-for.js";
import { MetricName } from "../../metrics/metric-name.js";
import type { Metrics } from "../../metrics/metrics.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { Leadership } from "./leadership.js";
import type { LoadMeter } from "./load-meter.js";
import type { PlacementTicketFetcher } from "./placement-ticket-fetcher.js";
import type { TargetSessions } from "./target-sessions.js";

/** Longest time between two rounds, milliseconds, as scheduled occurrences become due without an event. */
const intervalMs = 50;
const followerIntervalMs = 100;
/** Time between two deletions of ended jobs, milliseconds. */
const dropIntervalMs = 2_000;

/** Time between two log lines about the load of a pool, milliseconds. */
const loadLogIntervalMs = 1_000;

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
    readonly log: DecisionLog;
    readonly metrics: Pick<Metrics, "recordTime">;
    readonly load: LoadMeter;
    readonly clock: Clock;
    /** Time for which the state of an ended job is kept, milliseconds. */
    readonly keepStateMs: number;
}

/** Starts and stops tasks while this process is the active leader. A start is committed before its request is sent. */
export class Scheduler extends PeriodicWorker {
    override readonly name = "scheduler";
    private readonly placementCounter = new PlacementCounter();
    private nextDropAt = 0;
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
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        const { leadership, sessions } = this.dependencies;
        this.noteLeadership(leadership.isActive());
        if (!this.isLeading) {
            return followerIntervalMs;
        }
        const fleet = leadership.readFleet();
        sessions.update(fleet.targets, leadership.readFencingToken());
        this.stopEndedJobs(fleet);
        yield* this.startTasks(fleet);
        this.writeLoadLines(fleet);
        yield* this.dropEndedJobs();
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
            log.record(DecisionKind.LeadershipLost, { term, sameTerm: isSameTerm });
            this.ceasedAt = now;
        }
    }

    private *startTasks(fleet: FleetState): Generator<unknown, void, unknown> {
        const { leadership, sessions, log, clock, load, metrics } = this.dependencies;
        const startedAt = clock.readMonotonic();
        const candidates = this.collectCandidates(fleet);
        const starts = candidates.length === 0 ? [] : this.planRound(fleet, candidates);
        const durationMs = clock.readMonotonic() - startedAt;
        load.noteRound(durationMs);
        metrics.recordTime(MetricName.RoundTime, durationMs);
        if (starts.length === 0) {
            return;
        }
        const stepsByKey = collectStartedSteps(candidates, starts);
        const proposedAt = clock.readMonotonic();
        const recorded = yield* waitFor(leadership.recordCommand({ kind: CommandKind.RecordStarts, starts }));
        load.noteStarts(recorded?.length ?? 0, clock.readMonotonic() - proposedAt);
        for (const { task, run, target } of recorded ?? []) {
            const step = stepsByKey.get(parseStepKey(task));
            if (step !== undefined) {
                this.placementCounter.noteStart(readPool(step), computeUrgency(step));
            }
            log.record(DecisionKind.TaskPlaced, {
                task,
                run,
                target,
                waitMs: this.computeStartWaitMs(fleet, task, run),
                late: step !== undefined && step.slackMs < 0 && !step.definition.isLongRunning,
            });
            sessions.find(target)?.startTask(task, run);
        }
    }

    private collectCandidates(fleet: FleetState): StepCandidate[] {
        const { clock, estimator, isMemoryFull } = this.dependencies;
        return collectCandidates(fleet, clock.readWall(), estimator, isMemoryFull(fleet));
    }

    private planRound(fleet: FleetState, candidates: readonly StepCandidate[]): readonly TaskStart[] {
        const { sessions, tickets, isCordoned } = this.dependencies;
        const neededPools = new Set(candidates.map(readPool));
        const pools = buildPlacementTargets(
            fleet,
            id => isCordoned(id) ? 0 : sessions.find(id)?.countStartsLeft() ?? 0,
            pool => neededPools.has(pool),
        );
        tickets.updateTickets(candidates, pools);
        return planStarts(fleet, candidates, pools, {
            isAdvised: (step, target) => tickets.findTicket(step, target) !== undefined,
            probation: {
                isOnProbation: (task, run, target) => sessions.find(target)?.isOnProbation(task, run) !== false,
                countOnProbation: target => sessions.find(target)?.countOnProbation() ?? 0,
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
        const candidates = this.collectCandidates(fleet);
        for (const poolLoad of collectPoolLoads(fleet, candidates)) {
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

    private *dropEndedJobs(): Generator<unknown, void, unknown> {
        const { leadership, clock, keepStateMs } = this.dependencies;
        const endedBeforeMs = clock.readWall() - keepStateMs;
        if (clock.readMonotonic() < this.nextDropAt) {
            return;
        }
        this.nextDropAt = clock.readMonotonic() + dropIntervalMs;
        const jobs = [...leadership.readFleet().jobs.values()];
        if (jobs.some(job => isJobFinished(job) && job.placedCount === 0 && job.endedAtMs < endedBeforeMs)) {
            yield* waitFor(leadership.recordCommand({ kind: CommandKind.DropJobs, endedBeforeMs }));
        }
    }
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
