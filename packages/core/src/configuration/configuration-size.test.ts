import { describe, expect, it } from "@jest/globals";

import { collectCandidates } from "../queueing/collect-candidates.js";
import type { WorkEstimator } from "../queueing/work-estimator.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { findQueue } from "./find-queue.js";
import type { FleetConfiguration } from "./fleet-configuration.js";

const queueCount = 1_400;
const estimator: WorkEstimator = { computeStepMs: () => 500, readMeanJobWork: () => 1 };

/** A fleet with a job that waits, and many queues of which each counts how often it is looked at. */
function createFixture() {
    const state = buildTestFleet(3, { cpu: 4_000, memory: 1_000, gpu: 0 });
    const { configuration } = state.fleet;
    if (configuration === undefined) {
        throw new TypeError("the test fleet has no configuration");
    }
    let visits = 0;
    const [queue] = configuration.queues;
    const others = Array.from({ length: queueCount }, (_, index) => ({
        ...queue,
        pathPrefix: `/${index}/`,
        get name() {
            visits += 1;
            return `q-${index}`;
        },
        get host() {
            visits += 1;
            return `h${index}`;
        },
    }));
    const large = { ...configuration, queues: [...others, ...configuration.queues] } as FleetConfiguration;
    state.fleet.configuration = large;
    addTestJob(state, "a", [buildTestStep()]);
    return {
        fleet: state.fleet,
        configuration: large,
        countVisits: (run: () => void) => {
            visits = 0;
            run();
            return visits;
        },
    };
}

describe("a configuration with many queues", () => {
    // With 1,400 queues, each scheduling round and each call of a client went through all of them.
    it("does not make scheduling rounds go through all queues", () => {
        const { fleet, countVisits } = createFixture();
        expect(collectCandidates(fleet, 0, estimator)).toHaveLength(1);
        expect(countVisits(() => collectCandidates(fleet, 0, estimator))).toBe(0);
    });

    it("does not make calls of clients go through all queues", () => {
        const { configuration, countVisits } = createFixture();
        expect(findQueue(configuration, "H7", "/7/x")?.host).toBe("h7");
        expect(countVisits(() => findQueue(configuration, "H7", "/7/x"))).toBeLessThan(10);
    });
});
