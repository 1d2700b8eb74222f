import { beforeEach, describe, expect, it } from "@jest/globals";

import { ManualClock } from "../testing/manual-clock.js";
import { RunRequestTracker } from "./run-request-tracker.js";

const openedAt = 100;

describe("RunRequestTracker", () => {
    describe("unconfirmed runs", () => {
        let clock: ManualClock;
        let tracker: RunRequestTracker;
        beforeEach(async () => {
            clock = new ManualClock();
            tracker = new RunRequestTracker(clock);
            await clock.runFor(1_000);
        });

        it("include a run whose request is no longer in flight, which nobody sends", async () => {
            tracker.findOrCreate("a.0.0.0", 1).isInFlight = false;
            tracker.findOrCreate("b.0.0.0", 1).isInFlight = true;
            await clock.runFor(50);
            const runs = tracker.collectUnconfirmedRuns(new Map([["a.0.0.0", 1], ["b.0.0.0", 1]]), openedAt);
            expect(runs).toEqual([{ ageMs: 50, isInFlight: false }, { ageMs: 50, isInFlight: true }]);
        });

        it("include a run without a request of this leadership, from when the session was opened", () => {
            tracker.findOrCreate("a.0.0.0", 1).isInFlight = true;
            const runs = tracker.collectUnconfirmedRuns(new Map([["a.0.0.0", 2]]), openedAt);
            expect(runs).toEqual([{ ageMs: 900, isInFlight: false }]);
        });

        it("do not include confirmed runs or requests for runs that are not recorded", () => {
            tracker.findOrCreate("a.0.0.0", 1).confirmedAt = 1_000;
            tracker.findOrCreate("b.0.0.0", 1);
            expect(tracker.collectUnconfirmedRuns(new Map([["a.0.0.0", 1]]), openedAt)).toEqual([]);
        });
    });
});
