import type { FleetShape } from "./fleet-shape.js";
import { runWaveSimulation } from "./run-wave-simulation.js";
import { WavePolicy } from "./wave-policy.js";
import type { WaveSimulationResult } from "./wave-simulation-result.js";

const shapes: readonly FleetShape[] = [
    { name: "addis", vms: 35, pools: 5, zones: 3, vmsPerRack: 4, maxUnavailablePercent: 25 },
    { name: "kigali", vms: 40, pools: 5, zones: 4, vmsPerRack: 4, maxUnavailablePercent: 25 },
    { name: "target", vms: 5_100, pools: 30, zones: 7, vmsPerRack: 20, maxUnavailablePercent: 10 },
];

/**
 * Simulates one wave on each fleet with each policy and each seed.
 * @param seeds - seeds of the random failures and durations
 * @returns results by fleet, then policy, then seed
 */
export function compareWavePolicies(seeds: readonly number[]): WaveSimulationResult[] {
    return shapes.flatMap(shape =>
        Object.values(WavePolicy).flatMap(policy => seeds.map(seed => runWaveSimulation(shape, policy, seed)))
    );
}
