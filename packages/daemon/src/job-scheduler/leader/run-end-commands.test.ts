import { applyCommand } from "@daisylock/core/control/apply-command.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { CommandResults } from "@daisylock/core/control/command-results.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import { addTestJob } from "@daisylock/core/testing/add-test-job.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { describe, expect, it } from "@jest/globals";
import type Result from "true-myth/result";

import type { ProposeFailure } from "../../request-proxy/keeper/propose-failure.js";
import { buildQuietSessionDependencies } from "../testing/build-quiet-session-dependencies.js";
import { FakeKeeper } from "../testing/fake-keeper.js";
import { FakeTargetClient } from "../testing/fake-target-client.js";
import { ManualClock } from "../testing/manual-clock.js";
import { Leadership } from "./leadership.js";
import { TargetSessions } from "./target-sessions.js";

const targetCount = 100;
const taskCount = 200;
/** Interval of the proposals of a leader, milliseconds. */
const proposalIntervalMs = 12;
/** Interval in which the ends of the test reach the leader, milliseconds. */
const endsArriveMs = 12;

function createFixture() {
    const clock = new ManualClock();
    const state = buildTestFleet(targetCount, { cpu: 4_000, memory: 1_000, gpu: 0 });
    addTestJob(state, "a", [buildTestStep({ count: taskCount })]);
    const starts = Array.from({ length: taskCount }, (_, index) => ({
        task: `a.0.0.${index}`,
        run: 1,
        target: `t${index % targetCount}`,
    }));
    applyCommand(state, { kind: CommandKind.RecordStarts, starts });
    /** Proposes commands at intervals, as a keeper does whose disk is busy. */
    class BusyKeeper extends FakeKeeper {
        override async sendCommand<Command extends ControlCommand>(
            command: Command | (() => Command),
        ): Promise<Result<CommandResults[Command["kind"]], ProposeFailure>> {
            const now = clock.readMonotonic();
            const delayMs = proposalIntervalMs - now % proposalIntervalMs;
            await new Promise<void>(resolve => void clock.schedule(delayMs, resolve));
            return super.sendCommand(command);
        }
    }

    const keeper = new BusyKeeper(state);
    const clients = new Map(
        [...state.fleet.targets.keys()].map(id => [id, new FakeTargetClient(clock, 0)]),
    );
    const client = new Proxy(new FakeTargetClient(clock, 0), {
        get: (_, method: keyof FakeTargetClient) => (target: { id: string }, ...args: unknown[]) =>
            (clients.get(target.id)?.[method] as (...all: unknown[]) => unknown).call(
                clients.get(target.id),
                target,
                ...args,
            ),
    });
    const ended: string[] = [];
    const sessions = new TargetSessions({
        ...buildQuietSessionDependencies(),
        leadership: new Leadership(keeper, 1),
        client,
        reports: {
            findReport: () => ({ incarnation: 1, sequence: 1, at: clock.readMonotonic(), clockMs: clock.readWall() }),
        },
        clock,
        handleRunEnd: task => void ended.push(task),
    });
    const endTasks = () => {
        for (const { task, run, target } of starts) {
            const stub = clients.get(target);
            stub?.running.splice(0);
            stub?.ended.push({ number: stub.ended.length + 1, task, run, how: RunOutcome.Done, saved: "" });
        }
    };
    return { clock, state, sessions, commands: keeper.commands, ended, endTasks };
}

describe("commands that record ends of runs", () => {
    // Each target's ends were an entry of the log of their own, which every keeper stored and applied.
    it("are one for all targets whose ends arrive in one interval of the proposals", async () => {
        const { clock, state, sessions, commands, ended, endTasks } = createFixture();
        sessions.update(state.fleet.targets, 3);
        await clock.runFor(200);
        endTasks();
        await clock.runFor(100);
        const records = commands.filter(({ kind }) => kind === CommandKind.RecordEnds);
        expect([new Set(ended).size, ended.length]).toEqual([taskCount, taskCount]);
        expect(records.length).toBeLessThanOrEqual(1 + endsArriveMs / proposalIntervalMs);
    });
});
