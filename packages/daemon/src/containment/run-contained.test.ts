import { InvariantViolation } from "@daisylock/core/invariants/invariant-violation.js";
import { Invariant } from "@daisylock/core/invariants/invariant.js";
import { describe, expect, it } from "@jest/globals";
import { spawnSync } from "node:child_process";
import { resolve } from "node:path";

import { runContained } from "./run-contained.js";
import { startContained } from "./start-contained.js";
import { WorkKind } from "./work-kind.js";

const work = { work: WorkKind.VmMove, subject: "vm1" };

describe("contained work", () => {
    it.each([
        ["throws", () => {
            throw new TypeError("broken");
        }],
        ["rejects", () => Promise.reject(new TypeError("broken"))],
    ])("is noted with its cause when it %s, and recovers", async (_, run) => {
        const faults: unknown[] = [];
        expect(await runContained<number>(fault => faults.push(fault), work, run, () => 7)).toBe(7);
        expect(faults).toEqual([{ ...work, error: new TypeError("broken") }]);
    });

    it("passes a broken invariant on and does not recover from it", async () => {
        const faults: unknown[] = [];
        const run = () => {
            throw new InvariantViolation(Invariant.OneLeaderPerTerm, "term 3");
        };
        const result = runContained<unknown>(fault => faults.push(fault), work, run, () => faults.push("recovered"));
        await expect(result).rejects.toBeInstanceOf(InvariantViolation);
        expect(faults).toEqual([]);
    });

    it("returns the result of work that succeeds", async () => {
        expect(await runContained(() => undefined, work, () => 3, () => 7)).toBe(3);
    });

    it("that nobody awaits is noted, too", async () => {
        const faults: unknown[] = [];
        startContained(fault => faults.push(fault), work, () => Promise.reject(new TypeError("broken")));
        await new Promise(done => setImmediate(done));
        expect(faults).toMatchObject([work]);
    });

    it("that nobody awaits ends the process once, with its line, when it breaks an invariant", () => {
        const folder = resolve("packages/daemon/dist");
        const program = `
            import { InvariantViolation } from ${
            JSON.stringify(resolve("packages/core/dist/invariants/invariant-violation.js"))
        };
            import { startContained } from "${folder}/containment/start-contained.js";
            import { ProcessFailureReporter } from "${folder}/process-failure/process-failure-reporter.js";
            const log = { fd: 1, process: "k1", takePendingLines: () => [], countPendingBytes: () => 0 };
            new ProcessFailureReporter(log).start();
            setInterval(() => undefined, 1_000);
            for (const subject of ["vm1", "vm2"]) {
                startContained(() => undefined, { work: "vm-move", subject }, async () => {
                    throw new InvariantViolation("budget-kept", subject);
                });
            }`;
        const { status, stdout } = spawnSync(process.execPath, ["--input-type=module", "--eval", program], {
            encoding: "utf8",
        });
        expect(status).toBe(1);
        const lines = stdout.trim().split("\n").map(line => JSON.parse(line) as Record<string, unknown>);
        expect(lines).toMatchObject([{ kind: "process-failed", reason: "invariant-broken" }]);
    });
});
