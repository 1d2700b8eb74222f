import type { PlannedRequest } from "./planned-request.js";
import type { Scenario } from "./scenario.js";

const burstFactor = 5;
const quietFactor = 0.05;

/**
 * Plans every request of a scenario ahead, so that a slow system does not slow down the callers.
 * @param scenario - the scenario
 * @param random - numbers from 0 to below 1
 * @returns the requests in order of time
 */
export function planRequests(scenario: Scenario, random: () => number): PlannedRequest[] {
    const requests: PlannedRequest[] = [];
    const bursting = scenario.load.filter(load => load.bursts);
    const entries = scenario.zones.length * scenario.entries_per_zone;
    for (const load of scenario.load) {
        const team = scenario.routes.find(route => route.name === load.route)?.team ?? "";
        for (let at = 0; at < scenario.seconds * 1_000;) {
            const factor = load.bursts ? computeRateFactor(scenario, bursting.indexOf(load), bursting.length, at) : 1;
            at += -Math.log(1 - random()) * 1_000 / (load.rate * factor);
            requests.push({
                id: `${load.route}-${requests.length}`,
                atMs: at,
                route: load.route,
                team,
                entry: Math.floor(random() * entries),
                isUnrepeatable: random() < load.unrepeatable,
                isUrgent: random() < load.urgent,
                deadlineMs: load.deadline_ms,
            });
        }
    }
    return requests.filter(request => request.atMs < scenario.seconds * 1_000).sort((a, b) => a.atMs - b.atMs);
}

/** Each bursting route has its turn, one after the other. */
function computeRateFactor(scenario: Scenario, position: number, count: number, at: number): number {
    const turn = Math.floor(at / (scenario.burst_seconds * 1_000)) % count;
    return turn === position ? burstFactor : quietFactor;
}
