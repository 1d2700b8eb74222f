import type { PoolForecast } from "../pools/pool-forecast.js";

/** CPU of the VMs of the pools, thousandths of a core. */
const vmCpu = 32_000;

/**
 * Builds the forecast of a pool of equal VMs of 32 cores on which nothing runs or waits.
 * @param name - name of the pool
 * @param vms - number of its VMs
 * @param idle - number of those that may move
 * @param fields - fields that differ; without others, the demand is expected to be on time and to have been as high
 * @returns the forecast
 */
export function buildPoolForecast(
    name: string,
    vms: number,
    idle: number,
    fields: Partial<PoolForecast> = {},
): PoolForecast {
    const { expected = 0 } = fields;
    return {
        name,
        isSpare: false,
        capacity: vms * vmCpu,
        unusable: 0,
        incoming: 0,
        used: 0,
        wanted: 0,
        wantedLate: 0,
        arrivals: [],
        expected,
        expectedOnTime: expected,
        expectedPeak: expected,
        usedLongRunning: 0,
        peak: 0,
        reserve: 0,
        homeCapacity: vms * vmCpu,
        idleVms: Array.from({ length: idle }, (_, index) => ({ vm: `${name}-${index}`, home: name, cpu: vmCpu })),
        ...fields,
    };
}
