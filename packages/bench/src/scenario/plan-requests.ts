import type { PlannedRequest } from "./planned-request.js";
import type { Scenario } from "./scenario.js";

const burstFactor = 5;
const idleFactor = 0.05;

/**
 * Plans the send times of all requests of a scenario in advance, so that slow responses do not reduce the request rate.
 * Arrivals on a route are a Poisson process.
 * @param scenario - the scenario
 * @param random - returns uniform random numbers in [0, 1)
 * @returns the requests in order of send time
 */
export function planRequests(scenario: Scenario, random: () => number): PlannedRequest[] {
    const requests: PlannedRequest[] = [];
    const burstingLoads = scenario.load.filter(load => load.bursts);
    const entryCount = scenario.zones.length * scenario.entries_per_zone;
    for (const load of scenario.load) {
        const team = scenario.routes.find(route => route.name === load.route)?.team ?? "";
        for (let at = 0; at < scenario.seconds * 1_000;) {
            const factor = load.bursts
                ? computeRateFactor(scenario, burstingLoads.indexOf(load), burstingLoads.length, at)
                : 1;
            at += -Math.log(1 - random()) * 1_000 / (load.rate * factor);
            requests.push({
                id: `${load.route}-${requests.length}`,
                atMs: at,
                route: load.route,
                team,
                entry: Math.floor(random() * entryCount),
                isUnrepeatable: random() < load.unrepeatable,
                isUrgent: random() < load.urgent,
                deadlineMs: load.deadline_ms,
            });
        }
    }
    return requests.filter(request => request.atMs < scenario.seconds * 1_000).sort((a, b) => a.atMs - b.atMs);
}

/** Computes the factor on the rate of a route with `bursts`; these routes burst one after the other, in rotation. */
function computeRateFactor(scenario: Scenario, position: number, count: number, at: number): number {
    const burstingPosition = Math.floor(at / (scenario.burst_seconds * 1_000)) % count;
    return burstingPosition === position ? burstFactor : idleFactor;
}
