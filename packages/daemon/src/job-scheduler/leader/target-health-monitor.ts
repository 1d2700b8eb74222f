import { countEndingRuns } from "@daisylock/core/jobs/count-ending-runs.js";
import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import { StallDetector } from "@daisylock/core/targets/stall-detector.js";
import { TargetCircuitBreaker } from "@daisylock/core/targets/target-circuit-breaker.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import { SlowTargetDetector } from "@daisylock/core/targets/slow-target-detector.js";

import { DecisionKind } from "../logging/decision-kind.js";
import type { RunningTask } from "../targets/running-task.js";
import type { SessionDependencies } from "./session-dependencies.js";

/** Progress in percent from which a task is left to finish on its target, however slow the target is. */
const nearlyDonePercent = 75;

/** Judges the health of one target by the progress and outcomes of its runs. */
export class TargetHealthMonitor {
    private readonly circuitBreaker = new TargetCircuitBreaker();
    private readonly stallDetector = new StallDetector();
    private readonly slowDetector = new SlowTargetDetector();
    /** Whether the tasks of the target take several times as long as expected. */
    private isSlow = false;
    /** Jobs of the running tasks, by encoded task key; `undefined` for tasks that are not expected to advance. */
    private jobsByTask: ReadonlyMap<string, string | undefined> = new Map();

    /**
     * @param target - record of the target
     * @param dependencies - fleet state, clock, log and estimates
     */
    constructor(
        private readonly target: TargetRecord,
        private readonly dependencies: Pick<
            SessionDependencies,
            "leadership" | "clock" | "log" | "estimateTask" | "mayEjectSlow" | "stalledTasks"
        >,
    ) {}

    /**
     * Counts the tasks that may be started on the target now.
     * @returns 0 when none may be started; infinity for a healthy target
     */
    countStartsLeft(): number {
        return this.isEjected()
            ? this.circuitBreaker.countStartsLeft(this.countEndingRuns(), this.dependencies.clock.readMonotonic())
            : Number.POSITIVE_INFINITY;
    }

    /**
     * Tells whether the target is ejected, or tried again with few tasks at a time.
     * @returns false for a healthy target
     */
    isEjected(): boolean {
        return this.circuitBreaker.isEjected(this.dependencies.clock.readMonotonic());
    }

    private countEndingRuns(): number {
        const fleet = this.dependencies.leadership.readFleet();
        return countEndingRuns(fleet, fleet.targetLoads.get(this.target.id)?.runs.keys() ?? []);
    }

    /**
     * Records how a run ended.
     * @param task - encoded task key
     * @param how - outcome of the run
     */
    noteRunEnd(task: string, how: RunOutcome): void {
        const job = decodeTaskKey(task)?.job ?? task;
        const now = this.dependencies.clock.readMonotonic();
        if (how === RunOutcome.Done) {
            this.isSlow &&= this.slowDetector.isSlow(now);
            if (!this.isSlow) {
                this.circuitBreaker.recordSuccess();
            }
        }
        if (how === RunOutcome.Failed && this.circuitBreaker.recordFailure(job, now)) {
            this.dependencies.log.record(DecisionKind.TargetLeftOut, {
                target: this.target.id,
                reason: "runs failed",
                task,
            });
        }
    }

    /**
     * Collects the tasks that have newly stalled, and ejects the target if one of them had not stalled elsewhere before.
     * @param running - running tasks as reported by the target
     * @param isStopping - whether a run is being stopped already
     * @returns the tasks, to be stopped so that they can continue elsewhere
     */
    collectStalledTasks(
        running: readonly RunningTask[],
        isStopping: (task: string, run: number) => boolean,
    ): RunningTask[] {
        const now = this.dependencies.clock.readMonotonic();
        this.updateAdvancing(running);
        const stalled = running.filter(({ task, run, percent }) =>
            this.jobsByTask.get(task) !== undefined && this.stallDetector.checkStalled(task, run, percent, now)
            && !isStopping(task, run)
        );
        for (const { task, run, percent } of stalled) {
            const fields = { target: this.target.id, task, run, percent };
            if (this.dependencies.stalledTasks.noteStall(task, this.target.id)) {
                this.circuitBreaker.recordStall(now);
                this.dependencies.log.record(DecisionKind.TargetLeftOut, { reason: "a task has stalled", ...fields });
            }
            else {
                this.dependencies.log.record(DecisionKind.TaskStalled, fields);
            }
        }
        this.stallDetector.dropEndedTasks(task => this.jobsByTask.has(task));
        return stalled;
    }

    /**
     * Ejects the target if it is slow, and collects the tasks that would then finish sooner elsewhere.
     * @param running - running tasks as reported by the target
     * @param readElapsed - reads the time since a run was confirmed, milliseconds; `undefined` when it is not known
     * @returns the tasks, to be stopped so that they can restart elsewhere
     */
    collectTasksToMove(
        running: readonly RunningTask[],
        readElapsed: (task: string, run: number) => number | undefined,
    ): RunningTask[] {
        const now = this.dependencies.clock.readMonotonic();
        this.updateAdvancing(running);
        const advancing = running.filter(({ task }) => this.jobsByTask.get(task) !== undefined);
        for (const { task, run, percent } of advancing) {
            this.noteSpeed(task, this.jobsByTask.get(task) ?? task, readElapsed(task, run), percent);
        }
        const wasSlow = this.isSlow;
        this.isSlow = this.slowDetector.isSlow(now) && (wasSlow || this.dependencies.mayEjectSlow(this.target));
        if (!this.isSlow) {
            return [];
        }
        this.circuitBreaker.recordStall(now);
        const tasksToMove = advancing.filter(({ percent }) => percent < nearlyDonePercent);
        if (!wasSlow) {
            this.dependencies.log.record(DecisionKind.TargetLeftOut, {
                target: this.target.id,
                reason: "the target is slow",
                running: advancing.length,
                stopped: tasksToMove.length,
            });
        }
        return tasksToMove;
    }

    private noteSpeed(task: string, job: string, elapsedMs: number | undefined, percent: number): void {
        const expectedMs = this.dependencies.estimateTask(task);
        if (expectedMs !== undefined && elapsedMs !== undefined) {
            this.slowDetector.recordProgress(
                { job, expectedMs, elapsedMs, percent },
                this.dependencies.clock.readMonotonic(),
            );
        }
    }

    /** Looks up the jobs of tasks that have not been listed before, and forgets the tasks that are not listed any more. */
    private updateAdvancing(running: readonly RunningTask[]): void {
        const jobs = running.map(({ task }) => [task, this.jobsByTask.get(task) ?? this.findJob(task)] as const);
        this.jobsByTask = new Map(jobs);
    }

    /**
     * Finds the job of a task that is expected to advance; `undefined` for long-running tasks, which stay at one percentage,
     * and for gangs, whose members wait for each other.
     */
    private findJob(task: string): string | undefined {
        const key = decodeTaskKey(task);
        const { jobs } = this.dependencies.leadership.readFleet();
        const step = key === undefined ? undefined : jobs.get(key.job)?.steps[key.step];
        return step !== undefined && !step.isLongRunning && !step.isGang ? key?.job : undefined;
    }
}
