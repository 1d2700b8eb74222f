import type { ControlState } from "../control/control-state.js";
import type { RecordEndsCommand } from "../control/record-ends-command.js";
import type { FleetState } from "../fleet/fleet-state.js";
import { removeLoad } from "../fleet/remove-load.js";
import { decodeTaskKey } from "./decode-task-key.js";
import { encodeTaskKey } from "./encode-task-key.js";
import { findTask } from "./find-task.js";
import { isJobOver } from "./is-job-over.js";
import { JobPhase } from "./job-phase.js";
import type { JobStep } from "./job-step.js";
import type { Job } from "./job.js";
import { releaseJobData } from "./release-job-data.js";
import { RunOutcome } from "./run-outcome.js";
import type { TaskEnd } from "./task-end.js";
import type { TaskKey } from "./task-key.js";
import { TaskPhase } from "./task-phase.js";
import type { TaskRecord } from "./task-record.js";

/**
 * Records ends of runs. An end of any but the newest run of a task changes nothing.
 * @param state - the replicated state
 * @param command - the command
 * @returns the ends that changed something
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
    settleRun(fleet, job, step, key, task, end);
    if (step.isGang && end.how === RunOutcome.Done) {
        settleGangMembers(fleet, job, step, key, end);
    }
    updateJobPhase(job, atMs);
    releaseJobData(fleet, job);
    return true;
}

function settleRun(
    fleet: FleetState,
    job: Job,
    step: JobStep,
    key: TaskKey,
    task: TaskRecord,
    end: TaskEnd,
): void {
    removeLoad(fleet, job, key.step, end.task, end.target);
    job.placedCount -= 1;
    settleTask(job, step, key, task, end);
}

/** One member's end as done stands for the whole gang. */
function settleGangMembers(fleet: FleetState, job: Job, step: JobStep, key: TaskKey, end: TaskEnd): void {
    const members = job.occurrences[key.occurrence]?.[key.step]?.tasks ?? [];
    members.forEach((task, index) => {
        const memberKey = { ...key, index };
        if (task.phase === TaskPhase.Placed && task.run === end.run) {
            settleRun(fleet, job, step, memberKey, task, {
                ...end,
                task: encodeTaskKey(memberKey),
                target: task.target,
            });
        }
    });
}

function settleTask(job: Job, step: JobStep, key: TaskKey, task: TaskRecord, end: TaskEnd): void {
    if (end.saved !== "") {
        task.saved = end.saved;
    }
    if (end.how === RunOutcome.Done && !step.isLongRunning) {
        setDone(job, key, task);
        return;
    }
    task.phase = TaskPhase.Waiting;
    if (end.how === RunOutcome.Failed && !step.isLongRunning) {
        addFailure(job, step, key, task);
    }
    if (step.isGang) {
        setGangCheckpoint(job, key, task.saved);
    }
}

function setDone(job: Job, key: TaskKey, task: TaskRecord): void {
    const progress = job.occurrences[key.occurrence]?.[key.step];
    task.phase = TaskPhase.Done;
    if (progress !== undefined) {
        progress.doneCount += 1;
    }
}

/** A failed run of a gang counts once, at whichever member is told first. */
function addFailure(job: Job, step: JobStep, key: TaskKey, task: TaskRecord): void {
    task.failures += 1;
    const members = step.isGang ? job.occurrences[key.occurrence]?.[key.step]?.tasks ?? [] : [task];
    const failures = step.isGang ? Math.max(...members.map(member => member.failures)) : task.failures;
    if (failures >= job.maxAttempts) {
        task.phase = TaskPhase.Failed;
    }
}

/** The value of any member is good for the gang, and all have to carry the same one. */
function setGangCheckpoint(job: Job, key: TaskKey, saved: string): void {
    for (const member of job.occurrences[key.occurrence]?.[key.step]?.tasks ?? []) {
        member.saved = saved;
    }
}

function updateJobPhase(job: Job, atMs: number): void {
    if (isJobOver(job)) {
        return;
    }
    const steps = job.occurrences.flat();
    if (steps.some(step => step.tasks.some(task => task.phase === TaskPhase.Failed))) {
        job.phase = JobPhase.Failed;
        job.endedAtMs = atMs;
    }
    else if (steps.every(step => step.doneCount === step.tasks.length)) {
        job.phase = JobPhase.Completed;
        job.endedAtMs = atMs;
    }
}
