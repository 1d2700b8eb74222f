import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import { StallDetector } from "@daisylock/core/targets/stall-detector.js";
import { TargetCircuitBreaker } from "@daisylock/core/targets/target-circuit-breaker.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import { SlowTargetDetector } from "@daisylock/core/targets/slow-target-detector.js";

import { DecisionKind } from "../logging/decision-kind.js";
import type { RunningTask } from "../targets/running-task.js";
import type { SessionDependencies } from "./session-dependencies.js";

/** Progress from which a task is left to end where it is, however slow that is. */
const nearlyDonePercent = 75;

/** Judges one target by what it says of its runs. */
export class TargetHealthMonitor {
    private readonly health = new TargetCircuitBreaker();
    private readonly progress = new StallDetector();
    private readonly speed = new SlowTargetDetector();
    /** Whether the target is left out because it is slow. */
    isSlow = false;

    /**
     * @param target - the target
     * @param dependencies - state, time and log
     */
    constructor(
        private readonly target: TargetRecord,
        private readonly dependencies: Pick<
            SessionDependencies,
            "leadership" | "clock" | "log" | "estimateTask" | "mayEjectSlow"
        >,
    ) {}

    /**
     * Tells how many tasks may be started on the target.
     * @param running - tasks that may be running there
     * @returns 0 for none; no bound for a target in good standing
     */
    countStartsLeft(running: number): number {
        return this.health.countStartsLeft(running, this.dependencies.clock.readMonotonic());
    }

    /**
     * Notes how a run ended.
     * @param task - encoded task key
     * @param how - how it ended
     */
    noteRunEnd(task: string, how: RunOutcome): void {
        const job = decodeTaskKey(task)?.job ?? task;
        const now = this.dependencies.clock.readMonotonic();
        if (how === RunOutcome.Done) {
            this.isSlow &&= this.speed.isSlow(now);
            if (!this.isSlow) {
                this.health.recordSuccess();
            }
        }
        if (how === RunOutcome.Failed && this.health.recordFailure(job, now)) {
            this.dependencies.log.record(DecisionKind.TargetLeftOut, {
                target: this.target.id,
                reason: "runs fail",
                task,
            });
        }
    }

    /**
     * Lists the tasks that have begun to stand still, and leaves the target out because of them.
     * @param running - what the target says that it runs
     * @param isStopping - whether a run is being stopped already
     * @returns the tasks, to be stopped so that they can go on elsewhere
     */
    collectStalledTasks(
        running: readonly RunningTask[],
        isStopping: (task: string, run: number) => boolean,
    ): RunningTask[] {
        const now = this.dependencies.clock.readMonotonic();
        const still = running.filter(({ task, run, percent }) =>
            this.isProgressExpected(task) && this.progress.checkStalled(task, run, percent, now)
            && !isStopping(task, run)
        );
        for (const { task, run, percent } of still) {
            this.health.recordStall(now);
            const reason = "a task stands still";
            this.dependencies.log.record(DecisionKind.TargetLeftOut, {
                target: this.target.id,
                reason,
                task,
                run,
                percent,
            });
        }
        const names = new Set(running.map(({ task }) => task));
        this.progress.dropEndedTasks(task => names.has(task));
        return still;
    }

    /**
     * Lists the tasks that would end sooner elsewhere, once the target has turned slow, and leaves the target out.
     * @param running - what the target says that it runs
     * @param readElapsed - time since a run was confirmed, milliseconds; `undefined` when it is not known
     * @returns the tasks, to be stopped so that they can begin again elsewhere
     */
    collectTasksToMove(
        running: readonly RunningTask[],
        readElapsed: (task: string, run: number) => number | undefined,
    ): RunningTask[] {
        const now = this.dependencies.clock.readMonotonic();
        const advancing = running.filter(({ task }) => this.isProgressExpected(task));
        for (const { task, run, percent } of advancing) {
            this.noteSpeed(task, readElapsed(task, run), percent);
        }
        const wasSlow = this.isSlow;
        this.isSlow = this.speed.isSlow(now) && (wasSlow || this.dependencies.mayEjectSlow(this.target));
        if (!this.isSlow) {
            return [];
        }
        this.health.recordStall(now);
        const slow = advancing.filter(({ percent }) => percent < nearlyDonePercent);
        if (!wasSlow) {
            this.dependencies.log.record(DecisionKind.TargetLeftOut, {
                target: this.target.id,
                reason: "it is slow",
                running: advancing.length,
                stopped: slow.length,
            });
        }
        return slow;
    }

    private noteSpeed(task: string, elapsedMs: number | undefined, percent: number): void {
        const expectedMs = this.dependencies.estimateTask(task);
        const job = decodeTaskKey(task)?.job ?? task;
        if (expectedMs !== undefined && elapsedMs !== undefined) {
            this.speed.recordProgress({ job, expectedMs, elapsedMs, percent }, this.dependencies.clock.readMonotonic());
        }
    }

    /** Long-running tasks stay at their percentage, and gangs wait for their members. */
    private isProgressExpected(task: string): boolean {
        const key = decodeTaskKey(task);
        const { jobs } = this.dependencies.leadership.readFleet();
        const step = key === undefined ? undefined : jobs.get(key.job)?.steps[key.step];
        return step !== undefined && !step.isLongRunning && !step.isGang;
    }
}
