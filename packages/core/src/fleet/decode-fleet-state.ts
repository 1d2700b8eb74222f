import type { FleetConfiguration } from "../configuration/fleet-configuration.js";
import type { CrashedRun } from "../crashes/crashed-run.js";
import { encodeTaskKey } from "../jobs/encode-task-key.js";
import { isJobFinished } from "../jobs/is-job-finished.js";
import type { Job } from "../jobs/job.js";
import { TaskPhase } from "../jobs/task-phase.js";
import type { VmRequestRecord } from "../pools/vm-request-record.js";
import type { TargetRecord } from "../targets/target-record.js";
import type { MaintenanceWave } from "../vm-maintenance/maintenance-wave.js";
import { addLoad } from "./add-load.js";
import { createFleetState } from "./create-fleet-state.js";
import type { FleetState } from "./fleet-state.js";
import { updateJobBytes } from "./update-job-bytes.js";

/**
 * Decodes the fleet state of a snapshot and recomputes the loads, which are not stored.
 * @param encoded - the output of encodeFleetState
 * @param jobs - the jobs
 * @returns the state
 */
export function decodeFleetState(encoded: unknown, jobs: readonly Job[]): FleetState {
    const content = encoded as {
        configuration?: FleetConfiguration;
        targets: TargetRecord[];
        vmHomes: [string, string][];
        vmOrders: [string, VmRequestRecord][];
        upkeep: MaintenanceWave[];
        /** Absent in snapshots of versions that did not record crashes. */
        lapsedRuns?: [string, CrashedRun[]][];
    };
    const state = createFleetState();
    state.configuration = content.configuration;
    content.targets.forEach(target => state.targets.set(target.id, target));
    content.vmHomes.forEach(([vm, home]) => state.vmHomes.set(vm, home));
    content.vmOrders.forEach(([vm, request]) => state.vmOrders.set(vm, request));
    content.upkeep.forEach(wave => state.maintenanceWaves.set(wave.number, wave));
    content.lapsedRuns?.forEach(([target, runs]) => state.lapsedRuns.set(target, runs));
    for (const job of jobs) {
        state.jobs.set(job.id, job);
        if (!isJobFinished(job) || job.placedCount > 0) {
            state.activeJobs.add(job.id);
        }
        addTasks(state, job);
        updateJobBytes(state, job.id, job.account);
    }
    return state;
}

/** Adds the load of the placed tasks of a job, and the tasks that are suspected. */
function addTasks(state: FleetState, job: Job): void {
    job.occurrences.forEach((steps, occurrence) =>
        steps.forEach((progress, step) =>
            progress.tasks.forEach((task, index) => {
                const key = encodeTaskKey({ job: job.id, occurrence, step, index });
                if (task.phase === TaskPhase.Placed) {
                    addLoad(state, job, step, key, task);
                }
                if (task.crashes?.isSuspect === true && task.phase !== TaskPhase.Done) {
                    state.suspectTasks.add(key);
                }
            })
        )
    );
}
