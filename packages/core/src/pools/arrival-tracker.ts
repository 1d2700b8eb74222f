import { readConfigurationIndex } from "../configuration/read-configuration-index.js";
import type { FleetState } from "../fleet/fleet-state.js";
import { countOccurrences } from "../jobs/count-occurrences.js";
import type { Job } from "../jobs/job.js";
import { computeDueTime } from "../queueing/compute-due-time.js";
import { readPool } from "../queueing/read-pool.js";
import { computeDemandStages } from "./compute-demand-stages.js";
import type { JobArrival } from "./job-arrival.js";

/** Finds the jobs that have arrived since the last look at the fleet state. */
export class ArrivalTracker {
    /** Number of occurrences that have been collected, by active job. */
    private collected = new Map<string, number>();

    /**
     * Collects the arrivals since the last call.
     * @param fleet - the fleet state
     * @param now - wall-clock time, milliseconds
     * @returns the arrivals by pool; a pool without arrivals has no entry
     */
    collectArrivals({ configuration, activeJobs, jobs }: FleetState, now: number): ReadonlyMap<string, JobArrival[]> {
        const queues = configuration === undefined ? undefined : readConfigurationIndex(configuration).queuesByName;
        const arrivals = new Map<string, JobArrival[]>();
        const collected = new Map<string, number>();
        for (const id of activeJobs) {
            const job = jobs.get(id);
            if (job === undefined) {
                continue;
            }
            const first = this.collected.get(id) ?? 0;
            const dueTimes = listDueTimes(job, first, now);
            collected.set(id, first + dueTimes.length);
            if (dueTimes.length > 0) {
                const pool = readPool({ queue: queues?.get(job.queue), job });
                const stages = computeDemandStages(job.steps);
                const others = arrivals.get(pool) ?? [];
                arrivals.set(pool, [...others, ...dueTimes.map(at => ({ ageMs: Math.max(0, now - at), stages }))]);
            }
        }
        this.collected = collected;
        return arrivals;
    }
}

/** Lists when the occurrences of a job from a position on became due. */
function listDueTimes(job: Job, first: number, now: number): readonly number[] {
    const dueTimes: number[] = [];
    for (let occurrence = first; occurrence < countOccurrences(job); occurrence++) {
        const dueTime = computeDueTime(job, occurrence);
        if (dueTime > now) {
            break;
        }
        dueTimes.push(dueTime);
    }
    return dueTimes;
}
