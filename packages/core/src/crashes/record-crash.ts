import type { FleetState } from "../fleet/fleet-state.js";
import { decodeTaskKey } from "../jobs/decode-task-key.js";
import { findTask } from "../jobs/find-task.js";
import { releaseJobData } from "../jobs/release-job-data.js";
import { setJobBegun } from "../jobs/set-job-begun.js";
import { TaskPhase } from "../jobs/task-phase.js";
import { updateJobPhase } from "../jobs/update-job-phase.js";
import type { TargetRecord } from "../targets/target-record.js";
import type { CrashedRun } from "./crashed-run.js";
import { isStartConfirmed } from "./is-start-confirmed.js";
import { RunProgress } from "./run-progress.js";
import { updateCrashHistory } from "./update-crash-history.js";

/**
 * Records the crash of a target incarnation in the histories of the tasks that were running there. Has to be called
 * before their runs are ended.
 * @param fleet - the fleet state
 * @param target - the target incarnation
 * @param known - what the leader knows of the runs; others count as unconfirmed
 * @param atMs - wall clock of the leader, milliseconds
 * @returns encoded keys of the tasks that are given up
 */
export function recordCrash(
    fleet: FleetState,
    target: TargetRecord,
    known: readonly CrashedRun[],
    atMs: number,
): readonly string[] {
    const runs = [...fleet.targetLoads.get(target.id)?.runs ?? []].map(([task, run]) => ({
        task,
        progress: known.find(other => other.task === task && other.run === run)?.progress ?? RunProgress.Unconfirmed,
    })).concat(fleet.lapsedRuns.get(target.id) ?? []);
    fleet.lapsedRuns.delete(target.id);
    const recentRuns = runs.filter(({ progress }) =>
        progress === RunProgress.OnProbation || progress === RunProgress.Unconfirmed
    );
    const isOnlyRecentJob = new Set(recentRuns.map(({ task }) => decodeTaskKey(task)?.job)).size === 1;
    return runs.filter(({ task, progress }) =>
        recordCrashOfTask(fleet, task, { progress, vm: target.vm, isOnlyRecentJob, atMs })
    ).map(({ task }) => task);
}

/** Returns whether the task is given up. */
function recordCrashOfTask(
    fleet: FleetState,
    encodedKey: string,
    crash: Omit<Parameters<typeof updateCrashHistory>[1], "isLongRunning">,
): boolean {
    const key = decodeTaskKey(encodedKey);
    const job = key === undefined ? undefined : fleet.jobs.get(key.job);
    const task = key === undefined || job === undefined ? undefined : findTask(job, key);
    if (task === undefined || task.phase === TaskPhase.Done) {
        return false;
    }
    if (isStartConfirmed(crash.progress)) {
        setJobBegun(job);
    }
    const wasPoison = task.crashes?.isPoison === true;
    const isLongRunning = job?.steps[key?.step ?? 0]?.isLongRunning === true;
    task.crashes = updateCrashHistory(task.crashes, { ...crash, isLongRunning });
    if (task.crashes?.isSuspect === true) {
        fleet.suspectTasks.add(encodedKey);
    }
    else {
        fleet.suspectTasks.delete(encodedKey);
    }
    const isPoison = task.crashes?.isPoison === true;
    if (isPoison && key !== undefined && job !== undefined && task.phase === TaskPhase.Waiting) {
        task.phase = TaskPhase.Failed;
        updateJobPhase(fleet, job, key.occurrence, task, crash.atMs);
        releaseJobData(fleet, job);
    }
    return isPoison && !wasPoison;
}
