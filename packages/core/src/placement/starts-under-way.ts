import { addLoad } from "../fleet/add-load.js";
import type { FleetState } from "../fleet/fleet-state.js";
import type { TargetLoad } from "../fleet/target-load.js";
import { decodeTaskKey } from "../jobs/decode-task-key.js";
import type { TaskStart } from "../jobs/task-start.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import { dropTasks } from "./drop-tasks.js";

/**
 * Starts that the leader has proposed and whose commit is not known yet. Later rounds are planned as if they were
 * committed, so that the scheduler need not wait for each commit (as Kubernetes' scheduler assumes pods before they are
 * bound). The replicated state still checks each start when it is applied.
 */
export class StartsUnderWay {
    /** By encoded task key. */
    private readonly starts = new Map<string, TaskStart>();
    private readonly countsByTarget = new Map<string, number>();
    private readonly countsByJob = new Map<string, number>();

    /**
     * Adds starts that are proposed.
     * @param starts - the starts, of tasks none of which is under way
     */
    addStarts(starts: readonly TaskStart[]): void {
        for (const start of starts) {
            this.starts.set(start.task, start);
            updateCount(this.countsByTarget, start.target, 1);
            updateCount(this.countsByJob, readJobId(start), 1);
        }
    }

    /**
     * Removes starts that are committed, or that were not.
     * @param starts - the starts, as they were added
     */
    removeStarts(starts: readonly TaskStart[]): void {
        for (const start of starts) {
            this.starts.delete(start.task);
            updateCount(this.countsByTarget, start.target, -1);
            updateCount(this.countsByJob, readJobId(start), -1);
        }
    }

    /**
     * Finds the target on which a task is about to start.
     * @param task - encoded task key
     * @returns id of the target; `undefined` when no start of the task is under way
     */
    findTarget(task: string): string | undefined {
        return this.starts.get(task)?.target;
    }

    /**
     * Counts the starts on a target.
     * @param target - id of the target
     * @returns number of starts under way
     */
    countOnTarget(target: string): number {
        return this.countsByTarget.get(target) ?? 0;
    }

    /**
     * Builds a view of the fleet in which the starts under way count towards the loads of targets and client accounts.
     * @param fleet - the fleet state, which does not change
     * @returns the view, which shares what the starts do not concern
     */
    buildView(fleet: FleetState): FleetState {
        const missing = [...this.starts.values()].filter(({ task, run, target }) =>
            fleet.targetLoads.get(target)?.runs.get(task) !== run
        );
        if (missing.length === 0) {
            return fleet;
        }
        const view: FleetState = {
            ...fleet,
            targetLoads: new Map(fleet.targetLoads),
            accountLoads: new Map(fleet.accountLoads),
            jobCpus: new Map(fleet.jobCpus),
        };
        for (const target of new Set(missing.map(start => start.target))) {
            const load = fleet.targetLoads.get(target);
            if (load !== undefined) {
                view.targetLoads.set(target, createLoadCopy(load));
            }
        }
        for (const { task, run, target } of missing) {
            const key = decodeTaskKey(task);
            const job = key === undefined ? undefined : fleet.jobs.get(key.job);
            if (key !== undefined && job !== undefined) {
                addLoad(view, job, key.step, task, { run, target });
            }
        }
        return view;
    }

    /**
     * Leaves the tasks whose start is under way out of the steps that may start.
     * @param candidates - the steps
     * @returns the steps with the tasks that still wait; those without any are left out
     */
    dropFrom(candidates: readonly StepCandidate[]): StepCandidate[] {
        return dropTasks(candidates, this.countsByJob, this.starts);
    }
}

function readJobId({ task }: TaskStart): string {
    return task.slice(0, task.indexOf("."));
}

function updateCount(counts: Map<string, number>, key: string, change: 1 | -1): void {
    const count = (counts.get(key) ?? 0) + change;
    if (count > 0) {
        counts.set(key, count);
    }
    else {
        counts.delete(key);
    }
}

function createLoadCopy(load: TargetLoad): TargetLoad {
    return { ...load, runs: new Map(load.runs), stepCounts: new Map(load.stepCounts) };
}
