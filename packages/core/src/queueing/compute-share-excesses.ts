import type { FleetState } from "../fleet/fleet-state.js";
import { isJobOver } from "../jobs/is-job-over.js";
import { TaskPhase } from "../jobs/task-phase.js";

/**
 * Computes by how much client accounts use more of a pool than their weight gives them. Answers a pool that is full
 * while one account asks for far more than the others: what is measured is cores in use by tasks that end, among the
 * accounts that have such work there (max-min fairness by weight).
 * @param fleet - the fleet state
 * @returns by pool and account: 0 up to its share, 1 at twice its share
 */
export function computeShareExcesses(fleet: FleetState): Map<string, Map<string, number>> {
    const weights = new Map(fleet.configuration?.accounts.map(({ name, weight }) => [name, weight]));
    const pools = new Map(fleet.configuration?.queues.map(({ name, pool }) => [name, pool]));
    const used = new Map<string, Map<string, number>>();
    for (const id of fleet.activeJobs) {
        const job = fleet.jobs.get(id);
        if (job === undefined || isJobOver(job) || job.steps.some(step => step.isLongRunning)) {
            continue;
        }
        const pool = pools.get(job.queue) ?? job.pool;
        const accounts = used.get(pool) ?? new Map<string, number>();
        const running = job.occurrences.flat().reduce((sum, { tasks }, position) => {
            const cpu = job.steps[position % job.steps.length]?.needs.cpu ?? 0;
            return sum + cpu * tasks.filter(task => task.phase === TaskPhase.Placed).length;
        }, 0);
        accounts.set(job.account, (accounts.get(job.account) ?? 0) + running);
        used.set(pool, accounts);
    }
    return new Map([...used].map(([pool, accounts]) => [pool, computeExcesses(accounts, weights)]));
}

function computeExcesses(
    used: ReadonlyMap<string, number>,
    weights: ReadonlyMap<string, number>,
): Map<string, number> {
    const readWeight = (account: string): number => Math.max(1, weights.get(account) ?? 1);
    const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
    const allUsed = sum([...used.values()]);
    const allWeights = sum([...used.keys()].map(readWeight));
    return new Map([...used].map(([account, cpu]) => {
        const share = allUsed * readWeight(account) / allWeights;
        return [account, share === 0 ? 0 : Math.max(0, cpu / share - 1)];
    }));
}
