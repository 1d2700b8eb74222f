import type { FleetState } from "../fleet/fleet-state.js";
import { encodeTaskKey } from "./encode-task-key.js";
import { isJobFinished } from "./is-job-finished.js";
import { TaskPhase } from "./task-phase.js";
import type { TaskStart } from "./task-start.js";

/**
 * Collects the runs of jobs that have completed, failed or been cancelled and that may still be running.
 * @param fleet - the fleet state
 * @returns the runs, to be stopped
 */
export function collectRunsOfFinishedJobs(fleet: FleetState): TaskStart[] {
    const runs: TaskStart[] = [];
    // A finished job is active exactly while some of its tasks may be running.
    for (const id of fleet.activeJobs) {
        const job = fleet.jobs.get(id);
        if (job === undefined || !isJobFinished(job)) {
            continue;
        }
        job.occurrences.forEach((steps, occurrence) =>
            steps.forEach(({ tasks }, step) =>
                tasks.forEach(({ phase, run, target }, index) => {
                    if (phase === TaskPhase.Placed) {
                        runs.push({ task: encodeTaskKey({ job: id, occurrence, step, index }), run, target });
                    }
                })
            )
        );
    }
    return runs;
}
