import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { RunEnd } from "@daisylock/core/jobs/run-end.js";
import { ProgressWatch } from "@daisylock/core/targets/progress-watch.js";
import { TargetHealth } from "@daisylock/core/targets/target-health.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import { TargetSpeed } from "@daisylock/core/targets/target-speed.js";

import { DecisionKind } from "../log/decision-kind.js";
import type { RunningTask } from "../targets/running-task.js";
import type { SessionSurroundings } from "./session-surroundings.js";

/** Progress from which a task is left to end where it is, however slow that is. */
const nearlyDonePercent = 75;

/** Judges one target by what it says of its runs. */
export class HealthWatch {
    private readonly health = new TargetHealth();
    private readonly progress = new ProgressWatch();
    private readonly speed = new TargetSpeed();
    /** Whether the target is left out because it is slow. */
    isSlow = false;

    /**
     * @param target - the target
     * @param surroundings - state, time and log
     */
    constructor(
        private readonly target: TargetRecord,
        private readonly surroundings: Pick<
            SessionSurroundings,
            "leadership" | "clock" | "log" | "estimateTask" | "mayBeSlow"
        >,
    ) {}

    /**
     * Tells how many tasks may be started on the target.
     * @param running - tasks that may be running there
     * @returns 0 for none; no bound for a target in good standing
     */
    countStartsLeft(running: number): number {
        return this.health.countStartsLeft(running, this.surroundings.clock.readMonotonic());
    }

    /**
     * Notes how a run ended.
     * @param task - encoded task key
     * @param how - how it ended
     */
    noteEnd(task: string, how: RunEnd): void {
        const job = decodeTaskKey(task)?.job ?? task;
        const now = this.surroundings.clock.readMonotonic();
        if (how === RunEnd.Done) {
            this.isSlow &&= this.speed.isSlow(now);
            if (!this.isSlow) {
                this.health.noteDone();
            }
        }
        if (how === RunEnd.Failed && this.health.noteFailed(job, now)) {
            this.surroundings.log.note(DecisionKind.TargetLeftOut, {
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
    listStill(running: readonly RunningTask[], isStopping: (task: string, run: number) => boolean): RunningTask[] {
        const now = this.surroundings.clock.readMonotonic();
        const still = running.filter(({ task, run, percent }) =>
            this.isAdvancing(task) && this.progress.isStill(task, run, percent, now) && !isStopping(task, run)
        );
        for (const { task, run, percent } of still) {
            this.health.noteStill(now);
            const reason = "a task stands still";
            this.surroundings.log.note(DecisionKind.TargetLeftOut, {
                target: this.target.id,
                reason,
                task,
                run,
                percent,
            });
        }
        const names = new Set(running.map(({ task }) => task));
        this.progress.dropOthers(task => names.has(task));
        return still;
    }

    /**
     * Lists the tasks that would end sooner elsewhere, once the target has turned slow, and leaves the target out.
     * @param running - what the target says that it runs
     * @param readElapsed - time since a run was confirmed, milliseconds; `undefined` when it is not known
     * @returns the tasks, to be stopped so that they can begin again elsewhere
     */
    listSlow(
        running: readonly RunningTask[],
        readElapsed: (task: string, run: number) => number | undefined,
    ): RunningTask[] {
        const now = this.surroundings.clock.readMonotonic();
        const advancing = running.filter(({ task }) => this.isAdvancing(task));
        for (const { task, run, percent } of advancing) {
            this.noteSpeed(task, readElapsed(task, run), percent);
        }
        const wasSlow = this.isSlow;
        this.isSlow = this.speed.isSlow(now) && (wasSlow || this.surroundings.mayBeSlow(this.target));
        if (!this.isSlow) {
            return [];
        }
        this.health.noteStill(now);
        const slow = advancing.filter(({ percent }) => percent < nearlyDonePercent);
        if (!wasSlow) {
            this.surroundings.log.note(DecisionKind.TargetLeftOut, {
                target: this.target.id,
                reason: "it is slow",
                running: advancing.length,
                stopped: slow.length,
            });
        }
        return slow;
    }

    private noteSpeed(task: string, elapsedMs: number | undefined, percent: number): void {
        const expectedMs = this.surroundings.estimateTask(task);
        const job = decodeTaskKey(task)?.job ?? task;
        if (expectedMs !== undefined && elapsedMs !== undefined) {
            this.speed.noteProgress({ job, expectedMs, elapsedMs, percent }, this.surroundings.clock.readMonotonic());
        }
    }

    /** Long-running tasks stay at their percentage, and gangs wait for their members. */
    private isAdvancing(task: string): boolean {
        const key = decodeTaskKey(task);
        const { jobs } = this.surroundings.leadership.readFleet();
        const step = key === undefined ? undefined : jobs.get(key.job)?.steps[key.step];
        return step !== undefined && !step.isLongRunning && !step.isGang;
    }
}
