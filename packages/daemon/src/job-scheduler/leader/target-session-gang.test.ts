import { applyCommand } from "@daisylock/core/control/apply-command.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { CommandResults } from "@daisylock/core/control/command-results.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import { addTestJob } from "@daisylock/core/testing/add-test-job.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { describe, expect, it } from "@jest/globals";

import { buildQuietSessionDependencies } from "../testing/build-quiet-session-dependencies.js";
import { FakeTargetClient } from "../testing/fake-target-client.js";
import { ManualClock } from "../testing/manual-clock.js";
import { TargetSessions } from "./target-sessions.js";

/** Time within which a member that is left over is stopped, milliseconds. */
const maxStopMs = 1_000;
const members = ["a.0.0.0", "a.0.0.1"];

/** A session whose target runs both members of a gang. */
function createFixture() {
    const clock = new ManualClock();
    const client = new FakeTargetClient(clock, 500_000);
    const state = buildTestFleet(1, { cpu: 4_000, memory: 1_000, gpu: 0 });
    addTestJob(state, "a", [buildTestStep({ count: 2, isGang: true }), buildTestStep({ after: [0] })]);
    const starts = members.map(task => ({ task, run: 1, target: "t0" }));
    applyCommand(state, { kind: CommandKind.RecordStarts, starts });
    client.running.push(...members.map(task => ({ task, run: 1, saved: "", percent: 50, load: 0 })));
    const recordCommand = async <Command extends ControlCommand>(
        command: Command,
    ): Promise<CommandResults[Command["kind"]]> => applyCommand(state, command);
    const sessions = new TargetSessions({
        ...buildQuietSessionDependencies(),
        leadership: {
            isActive: () => true,
            readFleet: () => state.fleet,
            readStartedAt: () => 0,
            recordCommand,
            scheduleCommand: buildCommand => recordCommand(buildCommand()),
        },
        client,
        reports: {
            findReport: () => {
                const now = clock.readMonotonic();
                return { incarnation: 1, sequence: 1, at: now, clockMs: now + 500_000 };
            },
        },
        clock,
    });
    sessions.update(state.fleet.targets, 3);
    return { clock, client, sessions };
}

describe("TargetSession", () => {
    it("stops the members of a gang that still run on its target once another member has ended as done", async () => {
        const { clock, client, sessions } = createFixture();
        await clock.runFor(maxStopMs);
        client.running.shift();
        client.ended.push({ task: "a.0.0.0", run: 1, how: RunOutcome.Done, saved: "", number: 1 });
        await clock.runFor(maxStopMs);
        expect(client.stops.map(({ task }) => task)).toEqual(["a.0.0.1"]);
        sessions.closeAll();
    });
});
