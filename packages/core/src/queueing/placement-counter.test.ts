import { describe, expect, it } from "@jest/globals";

import { buildTestStep } from "../testing/build-test-step.js";
import { computeUrgency } from "./compute-urgency.js";
import { PlacementCounter } from "./placement-counter.js";
import { Urgency } from "./urgency.js";

describe("the counter of placed tasks", () => {
    it("tells by pool how many were placed on time, with too little slack for an estimation error, and late", () => {
        const counter = new PlacementCounter();
        const definition = buildTestStep();
        [300, 100, 0, -200, -400, -9_000].forEach(slackMs =>
            counter.noteStart("web", computeUrgency({ definition, slackMs, remainingMs: 1_000, isBacklogLate: true }))
        );
        counter.noteStart("web", Urgency.LongRunning);
        expect(counter.takeCounts("web")).toEqual({ placedOnTime: 2, placedUncertain: 3, placedLate: 2 });
        expect(counter.takeCounts("web")).toEqual({ placedOnTime: 0, placedUncertain: 0, placedLate: 0 });
        expect(counter.takeCounts("batch")).toEqual({ placedOnTime: 0, placedUncertain: 0, placedLate: 0 });
    });
});
