import type { DisruptionBudget } from "./disruption-budget.js";
import type { MaintenanceVm } from "./maintenance-vm.js";
import type { WaveEstimate } from "./wave-estimate.js";

const minuteMs = 60_000;

/**
 * Estimates how long the maintenance of VMs takes when each pool always uses its whole disruption budget.
 * @param vms - names of the VMs to maintain
 * @param fleet - all VMs by name
 * @param budgets - disruption budgets by pool
 * @param vmMs - time that one VM is unavailable, milliseconds
 * @returns the estimate
 */
export function computeWaveEstimate(
    vms: readonly string[],
    fleet: ReadonlyMap<string, MaintenanceVm>,
    budgets: ReadonlyMap<string, DisruptionBudget>,
    vmMs: number,
): WaveEstimate {
    const counts = new Map<string, number>();
    for (const vm of vms) {
        const pool = fleet.get(vm)?.pool;
        if (pool !== undefined) {
            counts.set(pool, (counts.get(pool) ?? 0) + 1);
        }
    }
    const pools = [...counts].map(([pool, count]) => {
        const parallel = budgets.get(pool)?.maxUnavailable ?? 0;
        const minutes = parallel === 0 ? Infinity : Math.ceil(count / parallel) * vmMs / minuteMs;
        return { pool, vms: count, parallel, minutes };
    });
    const unblocked = pools.filter(({ parallel }) => parallel > 0);
    return {
        pools: unblocked,
        minutes: Math.max(0, ...unblocked.map(({ minutes }) => minutes)),
        blocked: pools.filter(({ parallel }) => parallel === 0).map(({ pool }) => pool),
    };
}
