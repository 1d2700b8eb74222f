import { applyCommand } from "@daisylock/core/control/apply-command.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { RecordEndsCommand } from "@daisylock/core/control/record-ends-command.js";
import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import { addTestJob } from "@daisylock/core/testing/add-test-job.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { describe, expect, it } from "@jest/globals";

import { ManualClock } from "../testing/manual-clock.js";
import type { Leadership } from "./leadership.js";
import { RunEndRecorder } from "./run-end-recorder.js";

/** A leadership whose log takes proposals when a test says so. */
function createFixture(taskCount = 8) {
    const state = buildTestFleet(2, { cpu: 400_000, memory: 100_000, gpu: 0 });
    addTestJob(state, "a", [buildTestStep({ count: taskCount })]);
    const starts = Array.from({ length: taskCount }, (_, index) => ({
        task: `a.0.0.${index}`,
        run: 1,
        target: `t${index % 2}`,
    }));
    applyCommand(state, { kind: CommandKind.RecordStarts, starts });
    const commands: RecordEndsCommand[] = [];
    let waiting: ((isCommitted: boolean) => void)[] = [];
    const leadership: Pick<Leadership, "scheduleCommand"> = {
        scheduleCommand: buildCommand =>
            new Promise(resolve => {
                waiting.push(isCommitted => {
                    if (!isCommitted) {
                        resolve(undefined);
                        return;
                    }
                    const command = buildCommand();
                    commands.push(command as unknown as RecordEndsCommand);
                    resolve(structuredClone(applyCommand(state, command)));
                });
            }),
    };
    const recorder = new RunEndRecorder(leadership, new ManualClock());
    const takeProposals = (isCommitted = true) => {
        const taken = waiting;
        waiting = [];
        taken.forEach(take => take(isCommitted));
    };
    return { recorder, commands, takeProposals };
}

const buildEnd = (index: number, how = RunOutcome.Done) => ({
    task: `a.0.0.${index}`,
    run: 1,
    target: `t${index % 2}`,
    how,
    saved: "",
    progress: undefined,
});
const listTasks = (ends: readonly { task: string }[] | undefined) => ends?.map(({ task }) => task);

describe("RunEndRecorder", () => {
    it("records the ends of several callers by one command, and returns to each its own that were recorded", async () => {
        const { recorder, commands, takeProposals } = createFixture();
        const outdated = { ...buildEnd(4), run: 7 };
        const calls = [[buildEnd(0), buildEnd(2)], [outdated], [buildEnd(1), outdated, buildEnd(3)]]
            .map(ends => recorder.recordEnds(ends));
        takeProposals();
        expect((await Promise.all(calls)).map(listTasks)).toEqual([["a.0.0.0", "a.0.0.2"], [], ["a.0.0.1", "a.0.0.3"]]);
        expect(commands).toHaveLength(1);
        const later = recorder.recordEnds([buildEnd(5)]);
        takeProposals();
        expect(listTasks(await later)).toEqual(["a.0.0.5"]);
        expect(commands).toHaveLength(2);
    });

    it("returns an end to the caller that recorded it, and not to the one that repeats it", async () => {
        const { recorder, takeProposals } = createFixture();
        const calls = [
            recorder.recordEnds([buildEnd(0, RunOutcome.Rejected)]),
            recorder.recordEnds([buildEnd(0), buildEnd(2)]),
            recorder.recordEnds([buildEnd(2)]),
        ];
        takeProposals();
        expect((await Promise.all(calls)).map(listTasks)).toEqual([["a.0.0.0"], ["a.0.0.2"], []]);
    });

    // Ends that count as committed are deleted by their targets.
    it("tells no caller of a command that may not have been committed that its ends are recorded", async () => {
        const { recorder, takeProposals, commands } = createFixture();
        const lost = [recorder.recordEnds([buildEnd(0)]), recorder.recordEnds([buildEnd(1)])];
        takeProposals(false);
        expect(await Promise.all(lost)).toEqual([undefined, undefined]);
        const next = recorder.recordEnds([buildEnd(0)]);
        takeProposals();
        expect(listTasks(await next)).toEqual(["a.0.0.0"]);
        expect(commands.map(({ ends }) => ends.length)).toEqual([1]);
    });

    it("fails all callers of a command that fails, and no later one", async () => {
        const faults = [new TypeError("broken")];
        const recorder = new RunEndRecorder({
            scheduleCommand: async () => {
                const fault = faults.pop();
                if (fault !== undefined) {
                    throw fault;
                }
                return undefined;
            },
        }, new ManualClock());
        const calls = [recorder.recordEnds([buildEnd(0)]), recorder.recordEnds([buildEnd(1)])];
        for (const call of calls) {
            await expect(call).rejects.toThrow("broken");
        }
        expect(await recorder.recordEnds([buildEnd(0)])).toBeUndefined();
    });

    it("bounds the ends of a command", async () => {
        const { recorder, commands, takeProposals } = createFixture(1_200);
        const calls = Array.from({ length: 1_200 }, (_, index) => recorder.recordEnds([buildEnd(index)]));
        takeProposals();
        expect((await Promise.all(calls)).every(ends => ends?.length === 1)).toBe(true);
        expect(commands.map(({ ends }) => ends.length)).toEqual([500, 500, 200]);
    });
});
