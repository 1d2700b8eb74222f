import type { ControlState } from "../control/control-state.js";
import type { RecordEndsCommand } from "../control/record-ends-command.js";
import { isStartConfirmed } from "../crashes/is-start-confirmed.js";
import type { FleetState } from "../fleet/fleet-state.js";
import { removeLoad } from "../fleet/remove-load.js";
import { decodeTaskKey } from "./decode-task-key.js";
import { encodeTaskKey } from "./encode-task-key.js";
import { findTask } from "./find-task.js";
import type { JobStep } from "./job-step.js";
import type { Job } from "./job.js";
import { releaseJobData } from "./release-job-data.js";
import { RunOutcome } from "./run-outcome.js";
import { setJobBegun } from "./set-job-begun.js";
import type { TaskEnd } from "./task-end.js";
import type { TaskKey } from "./task-key.js";
import { TaskPhase } from "./task-phase.js";
import type { TaskRecord } from "./task-record.js";
import { updateJobPhase } from "./update-job-phase.js";

/** Outcomes that only a run that has begun can have. */
const provenOutcomes: ReadonlySet<RunOutcome> = new Set([
    RunOutcome.Done,
    RunOutcome.Failed,
    RunOutcome.GangMemberEnded,
    RunOutcome.GangIncomplete,
]);

/**
 * Records ends of runs. An end that does not belong to the newest run of its task is ignored.
 * @param state - the replicated state
 * @param command - the command
 * @returns the ends that were recorded
 */
export function applyRecordEnds({ fleet }: ControlState, { ends, atMs }: RecordEndsCommand): readonly TaskEnd[] {
    return ends.filter(end => recordEnd(fleet, end, atMs));
}

function recordEnd(fleet: FleetState, end: TaskEnd, atMs: number): boolean {
    const key = decodeTaskKey(end.task);
    const job = key === undefined ? undefined : fleet.jobs.get(key.job);
    const step = key === undefined ? undefined : job?.steps[key.step];
    if (key === undefined || job === undefined || step === undefined) {
        return false;
    }
    const task = findTask(job, key);
    const isNewest = task?.phase === TaskPhase.Placed && task.run === end.run && task.target === end.target;
    if (task === undefined || !isNewest) {
        return false;
    }
    if (provenOutcomes.has(end.how) || isStartConfirmed(end.progress)) {
        setJobBegun(job);
    }
    recordRunEnd(fleet, job, step, key, task, end);
    if (step.isGang && end.how === RunOutcome.Done) {
        recordGangEnd(fleet, job, step, key, end);
    }
    updateJobPhase(fleet, job, key.occurrence, task, atMs);
    releaseJobData(fleet, job);
    return true;
}

function recordRunEnd(
    fleet: FleetState,
    job: Job,
    step: JobStep,
    key: TaskKey,
    task: TaskRecord,
    end: TaskEnd,
): void {
    removeLoad(fleet, job, key.step, end.task, end.target);
    job.placedCount -= 1;
    updateTask(job, step, key, task, end);
    if (task.phase === TaskPhase.Done) {
        fleet.suspectTasks.delete(end.task);
    }
    if (end.how === RunOutcome.LeaseExpired && end.progress !== undefined) {
        const lapsedRun = { task: end.task, run: end.run, progress: end.progress };
        fleet.lapsedRuns.set(end.target, [...fleet.lapsedRuns.get(end.target) ?? [], lapsedRun]);
    }
}

/** Records the members of a gang as done: the successful end of one member completes the whole gang. */
function recordGangEnd(fleet: FleetState, job: Job, step: JobStep, key: TaskKey, end: TaskEnd): void {
    const members = job.occurrences.get(key.occurrence)?.[key.step]?.tasks ?? [];
    members.forEach((task, index) => {
        const memberKey = { ...key, index };
        if (task.phase === TaskPhase.Placed && task.run === end.run) {
            recordRunEnd(fleet, job, step, memberKey, task, {
                ...end,
                task: encodeTaskKey(memberKey),
                target: task.target,
            });
        }
    });
}

function updateTask(job: Job, step: JobStep, key: TaskKey, task: TaskRecord, end: TaskEnd): void {
    if (end.saved !== "") {
        task.saved = end.saved;
    }
    if (end.how === RunOutcome.Done && !step.isLongRunning) {
        setTaskDone(job, key, task);
        return;
    }
    task.phase = TaskPhase.Waiting;
    if (end.how === RunOutcome.Failed && !step.isLongRunning) {
        recordFailure(job, step, key, task);
    }
    if (step.isGang) {
        setGangCheckpoint(job, key, task.saved);
    }
    if (task.crashes?.isPoison === true) {
        task.phase = TaskPhase.Failed;
    }
}

function setTaskDone(job: Job, key: TaskKey, task: TaskRecord): void {
    const progress = job.occurrences.get(key.occurrence)?.[key.step];
    task.phase = TaskPhase.Done;
    if (progress !== undefined) {
        progress.doneCount += 1;
    }
}

/**
 * Counts a failed run. A failed run of a gang counts once, for the member whose failure is reported first; the limit
 * applies to the member with the most failures.
 */
function recordFailure(job: Job, step: JobStep, key: TaskKey, task: TaskRecord): void {
    task.failures += 1;
    const members = step.isGang ? job.occurrences.get(key.occurrence)?.[key.step]?.tasks ?? [] : [task];
    const failures = members.reduce((most, member) => Math.max(most, member.failures), 0);
    if (failures >= job.maxAttempts) {
        task.phase = TaskPhase.Failed;
    }
}

/** A checkpoint of any member is valid for the whole gang, and all members must restart from the same one. */
function setGangCheckpoint(job: Job, key: TaskKey, saved: string): void {
    for (const member of job.occurrences.get(key.occurrence)?.[key.step]?.tasks ?? []) {
        member.saved = saved;
    }
}
