import { describe, expect, it } from "@jest/globals";

import { SystemClock } from "../../clock/system-clock.js";
import { runGoroutine } from "../../concurrency/run-goroutine.js";
import { DecisionKind } from "../logging/decision-kind.js";
import { RehearsalWorker } from "./rehearsal-worker.js";

const maxWaitMs = 10_000;

/** Runs the worker until it has logged its line or failed. */
async function runWorker(runFor: () => Promise<void>) {
    const lines: { kind: DecisionKind; fields: object }[] = [];
    let starts = 0;
    let stopCount = 0;
    let failure: unknown;
    const rehearsal = {
        runFor: async () => {
            await runFor();
            starts += 1_000;
        },
        countStarts: () => starts,
        stop: () => {
            stopCount += 1;
        },
    };
    const log = { record: (kind: DecisionKind, fields: object) => void lines.push({ kind, fields }) };
    const worker = new RehearsalWorker(() => rehearsal, log, new SystemClock());
    const ended = new Promise<void>(resolve =>
        runGoroutine(() => worker.run(), error => {
            failure = error;
            resolve();
        })
    );
    for (let waitedMs = 0; lines.length === 0 && waitedMs < maxWaitMs; waitedMs += 20) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    worker.stop();
    await ended;
    return { lines, failure, stopCount };
}

describe("RehearsalWorker", () => {
    it("ends the rehearsal once and logs it after enough starts", async () => {
        const { lines, failure, stopCount } = await runWorker(async () => undefined);
        expect(lines).toMatchObject([{ kind: DecisionKind.LeaderRehearsed, fields: { starts: 3_000 } }]);
        expect(failure).toBeUndefined();
        expect(stopCount).toBe(1);
    });

    it("goes on without a rehearsal that has failed, and logs why", async () => {
        const { lines, failure } = await runWorker(() => Promise.reject(new Error("broken")));
        expect(lines).toMatchObject([{ kind: DecisionKind.LeaderRehearsed, fields: { failure: "broken" } }]);
        expect(failure).toBeUndefined();
    });
});
