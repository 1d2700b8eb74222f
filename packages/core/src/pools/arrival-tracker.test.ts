import { describe, expect, it } from "@jest/globals";

import { CommandKind } from "../control/command-kind.js";
import { applySubmitJob } from "../jobs/apply-submit-job.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { ArrivalTracker } from "./arrival-tracker.js";

function buildFixture() {
    const state = buildTestFleet(1, { cpu: 4_000, memory: 1_000, gpu: 0 });
    const tracker = new ArrivalTracker();
    const collectAges = (now: number) =>
        (tracker.collectArrivals(state.fleet, now).get("web") ?? []).map(({ ageMs }) => ageMs);
    return { state, collectAges };
}

describe("ArrivalTracker", () => {
    it("collects each job once, with the time since it was accepted", () => {
        const { state, collectAges } = buildFixture();
        addTestJob(state, "a", [buildTestStep()], 1_000);
        expect(collectAges(1_040)).toEqual([40]);
        addTestJob(state, "b", [buildTestStep()], 1_100);
        expect([collectAges(1_140), collectAges(1_240)]).toEqual([[40], []]);
    });

    it("collects an occurrence of a scheduled job when it is due", () => {
        const { state, collectAges } = buildFixture();
        const request = { spec: "s", steps: [buildTestStep()], times: 3, startAtMs: 2_000, intervalMs: 1_000 };
        const job = { id: "a", queue: "q-web", account: "team", request, atMs: 1_000 };
        applySubmitJob(state, { kind: CommandKind.SubmitJob, ...job });
        expect([1_500, 2_050, 2_500, 4_100, 9_000].map(collectAges)).toEqual([[], [50], [], [1_100, 100], []]);
    });
});
