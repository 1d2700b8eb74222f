import { computeJobBytes } from "../jobs/compute-job-bytes.js";
import type { FleetState } from "./fleet-state.js";

/**
 * Updates the estimated memory of a job in the fleet state, after the job was added, has begun or ended an occurrence, was
 * released or deleted.
 * @param fleet - the fleet state
 * @param id - id of the job
 * @param account - client account of the job
 */
export function updateJobBytes(fleet: FleetState, id: string, account: string): void {
    const job = fleet.jobs.get(id);
    const bytes = job === undefined ? 0 : computeJobBytes(job);
    const total = (fleet.accountBytes.get(account) ?? 0) + bytes - (fleet.jobBytes.get(id) ?? 0);
    if (job === undefined) {
        fleet.jobBytes.delete(id);
    }
    else {
        fleet.jobBytes.set(id, bytes);
    }
    if (total > 0) {
        fleet.accountBytes.set(account, total);
    }
    else {
        fleet.accountBytes.delete(account);
    }
}
