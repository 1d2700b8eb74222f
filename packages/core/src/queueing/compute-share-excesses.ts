import { readConfigurationIndex } from "../configuration/read-configuration-index.js";
import type { FleetState } from "../fleet/fleet-state.js";
import { isJobFinished } from "../jobs/is-job-finished.js";

/**
 * Computes by how much client accounts exceed their weighted share of the cores in use in a pool (weighted max-min
 * fairness). Starts are ordered by it, so that in a pool at capacity an account that demands far more than the others
 * does not crowd them out. Counts only unfinished jobs without long-running steps, and only accounts that have such
 * jobs in the pool.
 * @param fleet - the fleet state
 * @returns the excess by pool and account: 0 up to the share, 1 at twice the share
 */
export function computeShareExcesses(fleet: FleetState): Map<string, Map<string, number>> {
    const index = fleet.configuration === undefined ? undefined : readConfigurationIndex(fleet.configuration);
    const findWeight = (account: string): number => Math.max(1, index?.accountsByName.get(account)?.weight ?? 1);
    const usedByPool = new Map<string, Map<string, number>>();
    for (const id of fleet.activeJobs) {
        const job = fleet.jobs.get(id);
        if (job === undefined || isJobFinished(job) || job.steps.some(step => step.isLongRunning)) {
            continue;
        }
        const pool = index?.queuesByName.get(job.queue)?.pool ?? job.pool;
        const usedByAccount = usedByPool.get(pool) ?? new Map<string, number>();
        const runningCpu = fleet.jobCpus.get(id) ?? 0;
        usedByAccount.set(job.account, (usedByAccount.get(job.account) ?? 0) + runningCpu);
        usedByPool.set(pool, usedByAccount);
    }
    return new Map([...usedByPool].map(([pool, usedByAccount]) => [pool, computeExcesses(usedByAccount, findWeight)]));
}

function computeExcesses(
    used: ReadonlyMap<string, number>,
    findWeight: (account: string) => number,
): Map<string, number> {
    const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
    const totalUsed = sum([...used.values()]);
    const totalWeight = sum([...used.keys()].map(findWeight));
    return new Map([...used].map(([account, cpu]) => {
        const share = totalUsed * findWeight(account) / totalWeight;
        return [account, share === 0 ? 0 : Math.max(0, cpu / share - 1)];
    }));
}
