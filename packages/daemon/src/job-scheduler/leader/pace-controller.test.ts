import { applyCommand } from "@daisylock/core/control/apply-command.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { addTestJob } from "@daisylock/core/testing/add-test-job.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { afterEach, describe, expect, it } from "@jest/globals";

import { FakeKeeper } from "../testing/fake-keeper.js";
import { ManualClock } from "../testing/manual-clock.js";
import { runWorker } from "../testing/run-worker.js";
import { Leadership } from "./leadership.js";
import { PaceController } from "./pace-controller.js";

const serving = "a.0.0.0";
const filler = "a.0.1.0";
const tailBoundMs = 100;

describe("PaceController", () => {
    let controller: PaceController;
    afterEach(() => controller.stop());

    /** A target on which a task serves users and a filler runs, whose pace starts at 100 percent. */
    function createFixture() {
        const state = buildTestFleet(1, { cpu: 4_000, memory: 1_000, gpu: 0 });
        addTestJob(state, "a", [
            buildTestStep({ isLongRunning: true, tailBoundMs }),
            buildTestStep({ isLongRunning: true, isFiller: true }),
        ]);
        const starts = [serving, filler].map(task => ({ task, run: 1, target: "t0" }));
        applyCommand(state, { kind: CommandKind.RecordStarts, starts });
        const record = state.fleet.targets.get("t0");
        if (record === undefined) {
            throw new TypeError("the test fleet has no target");
        }
        const clock = new ManualClock();
        const keeper = new FakeKeeper(state);
        const tail = { ms: 0 };
        const target = { pace: 100, requestCount: 0, isAnswering: true };
        const buildRunning = (task: string, load: number) =>
            [task, { task, run: 1, saved: "", percent: 100, load }] as const;
        const session = {
            record,
            get running() {
                return new Map([buildRunning(serving, tail.ms), buildRunning(filler, 1_000)]);
            },
            setPace: async (_task: string, _run: number, percent: number) => {
                target.pace = percent;
                target.requestCount += 1;
                return target.isAnswering;
            },
        };
        const open = () => {
            controller = new PaceController(
                new Leadership(keeper, 1),
                { list: () => new Map([["t0", session]]) },
                { record: () => undefined },
                clock,
            );
            return runWorker(controller, clock);
        };
        return { keeper, tail, target, session, open };
    }

    it("raises the pace of a filler that an earlier leader slowed down", async () => {
        const { target, open } = createFixture();
        target.pace = 20;
        await open()(4_000);
        expect(target.pace).toBe(100);
    });

    it("stops a filler again that another leader has sped up between two leaderships of its own", async () => {
        const { keeper, tail, target, open } = createFixture();
        tail.ms = tailBoundMs;
        const runFor = open();
        await runFor(1_000);
        expect(target.pace).toBe(0);
        keeper.isLeaseValid = false;
        keeper.term += 2;
        target.pace = 100;
        await runFor(1_000);
        keeper.isLeaseValid = true;
        await runFor(2_000);
        expect(target.pace).toBe(0);
    });

    it("raises the pace of a filler again whose stop was carried out but not answered", async () => {
        const { tail, target, open } = createFixture();
        const runFor = open();
        await runFor(1_000);
        tail.ms = tailBoundMs;
        target.isAnswering = false;
        await runFor(1_000);
        expect(target.pace).toBe(0);
        tail.ms = 0;
        target.isAnswering = true;
        await runFor(4_000);
        expect(target.pace).toBe(100);
    });

    it("repeats a stop that was not answered while the tail latency is at its bound", async () => {
        const { tail, target, open } = createFixture();
        tail.ms = tailBoundMs;
        target.isAnswering = false;
        const runFor = open();
        await runFor(1_000);
        target.pace = 100;
        target.isAnswering = true;
        await runFor(1_000);
        expect(target.pace).toBe(0);
    });

    it("sends nothing while the pace stays, also after the lease lapsed within a term", async () => {
        const { keeper, target, open } = createFixture();
        const runFor = open();
        await runFor(2_000);
        const { requestCount } = target;
        keeper.isLeaseValid = false;
        await runFor(1_000);
        keeper.isLeaseValid = true;
        await runFor(2_000);
        expect(target.requestCount).toBe(requestCount);
    });

    it("sends a pace again when the request for it threw", async () => {
        const { target, session, open } = createFixture();
        target.pace = 20;
        const send = session.setPace;
        session.setPace = () => Promise.reject(new RangeError("bad port"));
        const runFor = open();
        await runFor(2_000);
        expect(target.pace).toBe(20);
        session.setPace = send;
        await runFor(4_000);
        expect(target.pace).toBe(100);
    });

    it("goes on after a fault of computing the paces of a target", async () => {
        const { target, session, open } = createFixture();
        target.pace = 20;
        const running = new Map(session.running);
        Object.defineProperty(session, "running", {
            configurable: true,
            get: () => {
                throw new TypeError("broken");
            },
        });
        const runFor = open();
        await runFor(2_000);
        expect(target.pace).toBe(20);
        Object.defineProperty(session, "running", { value: running });
        await runFor(4_000);
        expect(target.pace).toBe(100);
    });
});
