import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";

/** Number of targets that have to crash under a task before its further starts are counted. */
const crashLimit = 3;
/** Number of these starts that the platform does not allow. */
const startLimitAfterCrashes = 3;

interface DoneRun {
    readonly target: string;
    readonly number: number;
    readonly task: string;
    /** Whether the lease of the target expired while the target listed the end. */
    isLapsed: boolean;
    /** Whether the task was started again while the target listed the end. */
    isRestarted: boolean;
    isDiscarded: boolean;
}

/** Observes the runs on all simulated targets and collects violations of the guarantees for tasks. */
export class RunMonitor {
    readonly violations: string[] = [];
    /** Number of runs that were started. */
    startCount = 0;
    /** The newest run of each task that is alive. */
    private readonly aliveRuns = new Map<string, { readonly target: string; readonly run: number }>();
    private readonly doneRuns: DoneRun[] = [];
    private readonly failedRuns = new Map<string, number>();
    private readonly crashCounts = new Map<string, number>();
    private readonly startCounts = new Map<string, number>();
    private readonly startsAfterCrashes = new Map<string, number>();

    /**
     * @param isRecordedDone - whether the replicated state no longer needs the result of a task
     * @param isCrashing - whether a task crashes its targets
     */
    constructor(
        private readonly isRecordedDone: (task: string) => boolean,
        private readonly isCrashing: (task: string) => boolean = () => false,
    ) {}

    /**
     * Records that a target has started a run.
     * @param target - id of the target
     * @param task - encoded task key
     * @param run - run number
     */
    noteStart(target: string, task: string, run: number): void {
        this.startCount += 1;
        this.startCounts.set(task, this.countStarts(task) + 1);
        this.noteStartAfterCrashes(task);
        const other = this.aliveRuns.get(task);
        if (other !== undefined) {
            this.violations.push(
                `run ${run} of ${task} starts on ${target} while run ${other.run} is on ${other.target}`,
            );
        }
        for (const done of this.doneRuns.filter(entry => entry.task === task && !entry.isLapsed)) {
            done.isRestarted = true;
            if (done.isDiscarded) {
                this.violations.push(`run ${run} of ${task} starts on ${target} after its end as done was discarded`);
            }
        }
        this.aliveRuns.set(task, { target, run });
    }

    private noteStartAfterCrashes(task: string): void {
        if (this.countCrashes(task) < crashLimit) {
            return;
        }
        const starts = (this.startsAfterCrashes.get(task) ?? 0) + 1;
        this.startsAfterCrashes.set(task, starts);
        if (starts >= startLimitAfterCrashes && this.isCrashing(task)) {
            this.violations.push(
                `${task} was started ${starts} more times after ${crashLimit} targets had crashed under it`,
            );
        }
    }

    /**
     * Records that a run has ended.
     * @param target - id of the target
     * @param number - number of the end on this target
     * @param task - encoded task key
     * @param how - outcome of the run
     * @param run - run number
     */
    noteEnd(target: string, number: number, task: string, how: RunOutcome, run: number): void {
        const alive = this.aliveRuns.get(task);
        if (alive?.target === target && alive.run === run) {
            this.aliveRuns.delete(task);
        }
        if (how === RunOutcome.Failed) {
            this.failedRuns.set(task, (this.failedRuns.get(task) ?? 0) + 1);
        }
        if (how === RunOutcome.Done) {
            this.doneRuns.push({ target, number, task, isLapsed: false, isRestarted: false, isDiscarded: false });
        }
    }

    /**
     * Records that the lease of a target has expired: runs that it lists as done may be repeated.
     * @param target - id of the target
     */
    noteLapse(target: string): void {
        this.doneRuns.filter(done => done.target === target && !done.isDiscarded).forEach(done => {
            done.isLapsed = true;
        });
    }

    /**
     * Records that a target has crashed: its runs have ended, and the ends that it listed are lost.
     * @param target - id of the target
     */
    noteCrash(target: string): void {
        this.noteLapse(target);
        this.doneRuns.filter(done => done.target === target).forEach(done => {
            done.isDiscarded = true;
        });
        [...this.aliveRuns].filter(([, alive]) => alive.target === target).forEach(([task]) => {
            this.aliveRuns.delete(task);
            this.crashCounts.set(task, this.countCrashes(task) + 1);
        });
    }

    /**
     * Counts the crashes of targets under a task.
     * @param task - encoded task key
     * @returns the number of targets
     */
    countCrashes(task: string): number {
        return this.crashCounts.get(task) ?? 0;
    }

    /**
     * Counts the starts of a task.
     * @param task - encoded task key
     * @returns the number of starts that targets have carried out
     */
    countStarts(task: string): number {
        return this.startCounts.get(task) ?? 0;
    }

    /**
     * Records that a target was told to discard ends.
     * @param target - id of the target
     * @param lastSeen - number of the last discarded end
     */
    noteDiscard(target: string, lastSeen: number): void {
        const discarded = this.doneRuns.filter(done =>
            done.target === target && !done.isDiscarded && done.number <= lastSeen
        );
        for (const done of discarded) {
            done.isDiscarded = true;
            if (!done.isLapsed && done.isRestarted) {
                this.violations.push(`${done.task} was started again after run ended as done on ${target}`);
            }
            if (!done.isLapsed && !this.isRecordedDone(done.task)) {
                this.violations.push(`the end of ${done.task} on ${target} was discarded and is not recorded`);
            }
        }
    }

    /**
     * Records that the tasks on a target exceed its capacity.
     * @param target - id of the target
     * @param task - encoded task key of the task that was started last
     */
    noteOverload(target: string, task: string): void {
        this.violations.push(`${task} exceeds the capacity of ${target}`);
    }

    /**
     * Lists the tasks of which several runs have failed.
     * @param minCount - least number of failed runs
     * @returns encoded task keys
     */
    listFailedTasks(minCount: number): readonly string[] {
        return [...this.failedRuns].filter(([, count]) => count >= minCount).map(([task]) => task);
    }

    /**
     * Lists the tasks under which so many targets have crashed that they may be given up.
     * @returns encoded task keys
     */
    listCrashingTasks(): readonly string[] {
        return [...this.crashCounts].filter(([, count]) => count >= 2).map(([task]) => task);
    }

    /**
     * Lists the runs that are alive.
     * @returns target and run number by encoded task key
     */
    listAliveRuns(): ReadonlyMap<string, { readonly target: string; readonly run: number }> {
        return this.aliveRuns;
    }
}
