import { applyCommand } from "@daisylock/core/control/apply-command.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import { addTestJob } from "@daisylock/core/testing/add-test-job.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { describe, expect, it } from "@jest/globals";

import { DecisionKind } from "../logging/decision-kind.js";
import { FakeTargetClient } from "../testing/fake-target-client.js";
import { ManualClock } from "../testing/manual-clock.js";
import { StalledTaskRegistry } from "./stalled-task-registry.js";
import { TargetSessions } from "./target-sessions.js";

type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

const task = "a.0.0.0";
const removalMs = 20_000;
const faultyMethods = ["startTask", "stopTask", "sendLeaseRenewal", "checkReachable"] as const;
const fail = (): never => {
    throw new RangeError("bad port");
};

/** Two targets, of which requests to `t0` fail as long as its methods are listed. */
class FaultyTargetClient extends FakeTargetClient {
    readonly faults = new Set<string>();

    /** Makes each request to `t0` throw, or reject, while its method is listed. */
    setFaulty(isThrown: boolean): void {
        for (const name of faultyMethods) {
            const send = this[name].bind(this) as (...args: [{ id: string }, never]) => Promise<never>;
            Object.assign(this, {
                [name]: (target: { id: string }, request: never) => {
                    const isFaulty = target.id === "t0" && this.faults.has(name);
                    const sendFaulty = isThrown ? fail : () => Promise.reject(new RangeError("bad port"));
                    return isFaulty ? sendFaulty() : send(target, request);
                },
            });
        }
    }
}

function createFixture() {
    const clock = new ManualClock();
    const state = buildTestFleet(2, { cpu: 4_000, memory: 1_000, gpu: 0 });
    addTestJob(state, "a", [buildTestStep()]);
    const client = new FaultyTargetClient(clock, 500_000);
    const lines: { kind: DecisionKind; fields: Fields }[] = [];
    const commands: ControlCommand[] = [];
    const faults = { command: undefined as CommandKind | undefined, isReporting: true, hasTickets: true };
    const recordCommand = async <Command extends ControlCommand>(command: Command) => {
        commands.push(command);
        return command.kind === faults.command ? fail() : applyCommand(state, command);
    };
    const sessions = new TargetSessions({
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
                const report = { incarnation: 1, sequence: 1, at: now, clockMs: now + 500_000 };
                return faults.isReporting ? report : { ...report, at: 0 };
            },
        },
        clock,
        log: { record: (kind, fields) => lines.push({ kind, fields }) },
        maxLeaseMs: 6_000,
        readUtilization: () => 0,
        findTargetEnding: () => undefined,
        stalledTasks: new StalledTaskRegistry(),
        mayEjectSlow: () => true,
        estimateTask: () => undefined,
        findTicket: () => faults.hasTickets ? "" : fail(),
        handleRejectedTicket: () => undefined,
        handleUnansweredRequest: () => undefined,
        startScheduling: () => undefined,
        noteRunBegun: () => undefined,
        handleRunEnd: () => undefined,
        noteEnds: () => undefined,
    });
    const startTask = () => {
        applyCommand(state, { kind: CommandKind.RecordStarts, starts: [{ task, run: 1, target: "t0" }] });
        sessions.find("t0")?.startTask(task, 1);
    };
    const readFaults = () => lines.filter(({ kind }) => kind === DecisionKind.WorkFailed).map(({ fields }) => fields);
    const open = () => sessions.update(state.fleet.targets, 3);
    return { clock, state, client, faults, commands, sessions, startTask, readFaults, open };
}

describe("the session of a target", () => {
    describe.each([["throws", true], ["rejects", false]])("whose client %s", (_, isThrown) => {
        // One such target ended every keeper that led.
        it("takes no start, is probed with pauses and is removed in time, and costs no other target", async () => {
            const { clock, state, client, faults, sessions, readFaults, open } = createFixture();
            client.setFaulty(isThrown);
            faultyMethods.forEach(name => client.faults.add(name));
            open();
            await clock.runFor(4_000);
            expect([sessions.find("t0")?.isUsable(), sessions.find("t1")?.isUsable()]).toEqual([false, true]);
            const expected = { work: "target-request", subject: "t0", error: "RangeError", message: "bad port" };
            expect(readFaults()[0]).toMatchObject(expected);
            expect(readFaults().length).toBeLessThan(4_000 / 100);
            faults.isReporting = false;
            await clock.runFor(removalMs);
            expect(state.fleet.targets.has("t0")).toBe(false);
            sessions.closeAll();
        });

        it("is used again once its requests succeed", async () => {
            const { clock, client, sessions, open } = createFixture();
            client.setFaulty(isThrown);
            client.faults.add("sendLeaseRenewal");
            open();
            await clock.runFor(2_000);
            client.faults.clear();
            await clock.runFor(2_000);
            expect(sessions.find("t0")?.isUsable()).toBe(true);
            sessions.closeAll();
        });

        it("counts a start as unanswered, so that the run begins at most once", async () => {
            const { clock, client, sessions, startTask, open } = createFixture();
            client.setFaulty(isThrown);
            open();
            await clock.runFor(1_000);
            client.faults.add("startTask");
            startTask();
            await clock.runFor(1_000);
            expect(sessions.find("t0")?.isUsable()).toBe(false);
            client.faults.clear();
            await clock.runFor(2_000);
            expect(client.starts.map(({ run }) => run)).toEqual([1]);
            sessions.closeAll();
        });
    });

    it("pauses after a fault of committing what the target reports, and commits it later", async () => {
        const { clock, state, client, faults, commands, sessions, startTask, readFaults, open } = createFixture();
        open();
        await clock.runFor(1_000);
        startTask();
        await clock.runFor(500);
        faults.command = CommandKind.RecordEnds;
        client.running.length = 0;
        client.ended.push({ number: 1, task, run: 1, how: "done" as never, saved: "" });
        await clock.runFor(5_000);
        const failed = readFaults().filter(({ work }) => work === "target-session");
        expect(failed.length).toBeGreaterThan(0);
        expect(commands.filter(({ kind }) => kind === CommandKind.RecordEnds).length).toBeLessThan(20);
        expect([sessions.find("t0")?.isUsable(), sessions.find("t1")?.isUsable()]).toEqual([false, true]);
        faults.command = undefined;
        await clock.runFor(5_000);
        expect(state.fleet.targetLoads.get("t0")?.runs.size ?? 0).toBe(0);
        expect(sessions.find("t0")?.isUsable()).toBe(true);
        sessions.closeAll();
    });

    it("pauses after a fault of one run, and sends its start later", async () => {
        const { clock, client, faults, sessions, startTask, readFaults, open } = createFixture();
        open();
        await clock.runFor(1_000);
        faults.hasTickets = false;
        startTask();
        await clock.runFor(3_000);
        expect(readFaults().filter(({ work }) => work === "target-run").length).toBeLessThan(10);
        expect(readFaults()).toContainEqual(expect.objectContaining({ work: "target-run", subject: task }));
        faults.hasTickets = true;
        await clock.runFor(3_000);
        expect(client.starts.map(({ run }) => run)).toEqual([1]);
        sessions.closeAll();
    });
});
