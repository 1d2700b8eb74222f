import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";
import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { JobPhase } from "@daisylock/core/jobs/job-phase.js";
import type { Job } from "@daisylock/core/jobs/job.js";

import type { Leadership } from "./leadership.js";

/**
 * Knows which jobs have begun by what targets have answered, also before it is recorded. A recorded start proves nothing:
 * the target may refuse it, or never receive it.
 */
export class BegunJobRegistry {
    /** Ids of jobs that have begun and that the replicated state shows as queued. */
    private readonly unrecorded = new Set<string>();

    /**
     * @param leadership - the replicated state
     */
    constructor(private readonly leadership: Pick<Leadership, "readFleet">) {}

    /**
     * Takes note that a target has begun a run.
     * @param task - encoded task key
     */
    noteRun(task: string): void {
        const id = decodeTaskKey(task)?.job;
        if (id !== undefined && this.readFleet().jobs.get(id)?.phase === JobPhase.Queued) {
            this.unrecorded.add(id);
        }
    }

    /**
     * Reads the phase of a job.
     * @param job - the job
     * @returns the recorded phase, or running if the job is known to have begun
     */
    readPhase({ id, phase }: Pick<Job, "id" | "phase">): JobPhase {
        return phase === JobPhase.Queued && this.unrecorded.has(id) ? JobPhase.Running : phase;
    }

    /**
     * Lists the jobs whose beginning is to be recorded. They are listed until the replicated state shows it.
     * @returns ids of jobs
     */
    listUnrecorded(): readonly string[] {
        const { jobs } = this.readFleet();
        for (const id of this.unrecorded) {
            if (jobs.get(id)?.phase !== JobPhase.Queued) {
                this.unrecorded.delete(id);
            }
        }
        return [...this.unrecorded];
    }

    private readFleet(): FleetState {
        return this.leadership.readFleet();
    }
}
