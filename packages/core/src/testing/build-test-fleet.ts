import type { FleetConfiguration } from "../configuration/fleet-configuration.js";
import type { ControlState } from "../control/control-state.js";
import { createControlState } from "../control/create-control-state.js";
import type { Resources } from "../resources/resources.js";
import { zeroResources } from "../resources/zero-resources.js";
import { ReportedTargetState } from "../targets/reported-target-state.js";

const pools = [
    { name: "web", isGuarded: true, isSpare: false },
    { name: "batch", isGuarded: true, isSpare: false },
    { name: "off", isGuarded: true, isSpare: true },
];

/**
 * Builds a fleet for tests: two pools with a queue each, a spare pool, and one client account.
 * @param targets - number of targets in the pool "web"
 * @param capacity - resources of each target
 * @param cap - upper limit of the account "team"; 0 means no limit, which is the default
 * @returns the replicated state
 */
export function buildTestFleet(targets: number, capacity: Resources, cap: Resources = zeroResources): ControlState {
    const state = createControlState();
    state.fleet.configuration = buildConfiguration(cap);
    for (let index = 0; index < targets; index++) {
        const id = `t${index}`;
        state.fleet.targets.set(id, {
            id,
            incarnation: 1,
            pool: "web",
            address: `10.0.0.${index + 1}:80`,
            zone: "a",
            vm: `vm${index}`,
            rack: `r${Math.floor(index / 2)}`,
            labels: ["a", `r${Math.floor(index / 2)}`],
            capacity,
            state: ReportedTargetState.Ready,
        });
    }
    return state;
}

function buildConfiguration(cap: Resources): FleetConfiguration {
    const queue = { priority: 0, maxAttempts: 2, stretch: 1.6, objectiveMs: 600, timeoutMs: 3_000, advice: undefined };
    return {
        version: 1,
        queues: [
            { ...queue, name: "q-web", host: "h", pathPrefix: "/web/", pool: "web", isPublic: false },
            { ...queue, name: "q-batch", host: "h", pathPrefix: "/batch/", pool: "batch", isPublic: true },
        ],
        pools,
        accounts: [{ name: "team", keys: ["key"], weight: 1, cap }],
        source: "{}",
    };
}
