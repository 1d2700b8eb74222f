import { applyCommand } from "@daisylock/core/control/apply-command.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { describe, expect, it } from "@jest/globals";

import { TargetRequestResult } from "../targets/target-request-result.js";
import { buildQuietSessionDependencies } from "../testing/build-quiet-session-dependencies.js";
import { FakeTargetClient } from "../testing/fake-target-client.js";
import { ManualClock } from "../testing/manual-clock.js";
import { TargetSessions } from "./target-sessions.js";

/** Targets of one of seven availability zones of the largest deployment. */
const zoneTargets = 729;
/** Requests a second that the leader may spend on targets from which there is no sign of life. */
const maxProbesPerSecond = 50;

function createFixture(targetCount: number) {
    const clock = new ManualClock();
    const client = new FakeTargetClient(clock, 0);
    const state = buildTestFleet(targetCount, { cpu: 4_000, memory: 1_000, gpu: 0 });
    let lastReportAt = Number.NEGATIVE_INFINITY;
    let areReporting = true;
    const sessions = new TargetSessions({
        ...buildQuietSessionDependencies(),
        leadership: {
            isActive: () => true,
            readFleet: () => state.fleet,
            readStartedAt: () => 0,
            recordCommand: async command => applyCommand(state, command),
            scheduleCommand: async buildCommand => applyCommand(state, buildCommand()),
        },
        client,
        reports: {
            findReport: () => {
                lastReportAt = areReporting ? clock.readMonotonic() : lastReportAt;
                return { incarnation: 1, sequence: 1, at: lastReportAt, clockMs: undefined };
            },
        },
        clock,
    });
    const setLost = (isLost: boolean) => {
        areReporting = !isLost;
        client.isResponding = !isLost;
        client.unansweredResult = TargetRequestResult.NotSent;
    };
    return {
        clock,
        client,
        setLost,
        open: () => sessions.update(state.fleet.targets, 3),
        find: (id: string) => sessions.find(id),
        countUsable: () => [...sessions.list().values()].filter(session => session.isUsable()).length,
    };
}

describe("TargetSessions while an availability zone is lost", () => {
    // The leader spent a sixth of its requests on a lost zone, in the seconds in which the other zones had its load.
    it("send a bounded number of requests to targets that do not respond, however many they are", async () => {
        const { clock, client, setLost, open } = createFixture(zoneTargets);
        setLost(true);
        open();
        await clock.runFor(2_000);
        const before = client.renewals.length;
        await clock.runFor(4_000);
        expect((client.renewals.length - before) / 4).toBeLessThanOrEqual(maxProbesPerSecond);
    });

    it("send a stop to a target that does not respond once it responds again", async () => {
        const { clock, client, setLost, open, find } = createFixture(1);
        setLost(true);
        open();
        await clock.runFor(1_000);
        find("t0")?.stopTask("a.0.0.0", 1);
        await clock.runFor(2_000);
        expect(client.stops).toHaveLength(0);
        setLost(false);
        await clock.runFor(500);
        expect(client.stops).toHaveLength(1);
    });

    it("use its targets again soon after their heartbeats have come back", async () => {
        const { clock, setLost, open, countUsable } = createFixture(zoneTargets);
        setLost(true);
        open();
        await clock.runFor(8_000);
        expect(countUsable()).toBe(0);
        setLost(false);
        await clock.runFor(300);
        expect(countUsable()).toBe(zoneTargets);
    });
});
