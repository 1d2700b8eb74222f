import type { ControlState } from "../control/control-state.js";
import type { RecordStartsCommand } from "../control/record-starts-command.js";
import { addLoad } from "../fleet/add-load.js";
import type { FleetState } from "../fleet/fleet-state.js";
import { isWithinAccountCap } from "../fleet/is-within-account-cap.js";
import { updateJobBytes } from "../fleet/update-job-bytes.js";
import { addResources } from "../resources/add-resources.js";
import { zeroResources } from "../resources/zero-resources.js";
import { countOccurrences } from "./count-occurrences.js";
import { decodeTaskKey } from "./decode-task-key.js";
import { findTask } from "./find-task.js";
import { isJobFinished } from "./is-job-finished.js";
import { isStepReady } from "./is-step-ready.js";
import type { JobStep } from "./job-step.js";
import type { Job } from "./job.js";
import { setJobBegun } from "./set-job-begun.js";
import { startOccurrences } from "./start-occurrences.js";
import type { TaskKey } from "./task-key.js";
import { TaskPhase } from "./task-phase.js";
import type { TaskStart } from "./task-start.js";

/**
 * Records starts of tasks, and which jobs have begun. Checks each start again, as the state may have changed since the
 * leader planned it. A job whose start is only recorded has not begun: its target may refuse it or never receive it.
 * @param state - the replicated state
 * @param command - the command
 * @returns the starts that were recorded; only these may be requested from their targets
 */
export function applyRecordStarts(
    { fleet }: ControlState,
    { starts, begunJobs = [] }: RecordStartsCommand,
): readonly TaskStart[] {
    begunJobs.forEach(id => setJobBegun(fleet.jobs.get(id)));
    return starts.filter(start => recordStart(fleet, start));
}

function recordStart(fleet: FleetState, start: TaskStart): boolean {
    const key = decodeTaskKey(start.task);
    const job = key === undefined ? undefined : fleet.jobs.get(key.job);
    if (key === undefined || job === undefined || isJobFinished(job) || !fleet.targets.has(start.target)) {
        return false;
    }
    const step = job.steps[key.step];
    if (
        step === undefined || !isTaskWaiting(job, step, key, start.run) || !isStepReady(job, key.occurrence, key.step)
    ) {
        return false;
    }
    const accountLoad = fleet.accountLoads.get(job.account) ?? zeroResources;
    if (!isWithinAccountCap(fleet, job.account, addResources(accountLoad, step.needs))) {
        return false;
    }
    if (key.occurrence >= job.begunCount) {
        startOccurrences(job, key.occurrence);
        updateJobBytes(fleet, job.id, job.account);
    }
    const task = findTask(job, key);
    if (task === undefined) {
        return false;
    }
    task.phase = TaskPhase.Placed;
    task.run = start.run;
    task.target = start.target;
    job.placedCount += 1;
    addLoad(fleet, job, key.step, start.task, task);
    // A target that takes starts again has not crashed under runs that ended with its lease.
    fleet.lapsedRuns.delete(start.target);
    return true;
}

/** Tells whether a task waits and has no run with this or a higher number. */
function isTaskWaiting(job: Job, step: JobStep, key: TaskKey, run: number): boolean {
    if (key.occurrence >= job.begunCount) {
        return key.occurrence < countOccurrences(job) && key.index < step.count;
    }
    const task = findTask(job, key);
    return task?.phase === TaskPhase.Waiting && run > task.run;
}
