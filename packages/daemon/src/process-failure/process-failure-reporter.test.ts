import { InvariantViolation } from "@daisylock/core/invariants/invariant-violation.js";
import { Invariant } from "@daisylock/core/invariants/invariant.js";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { execFileSync, spawn, spawnSync } from "node:child_process";
import { closeSync, constants, mkdtempSync, openSync, readFileSync, rmSync, writeSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

import { Escalation } from "../supervision/escalation.js";
import { ProcessFailureReason } from "./process-failure-reason.js";
import { ProcessFailureReporter } from "./process-failure-reporter.js";

const pipeBytes = 65_536;

describe("ProcessFailureReporter", () => {
    let folder: string;
    let fd: number;

    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "daisylock-process-failure-"));
        fd = openSync(join(folder, "log"), "a");
    });

    afterEach(() => {
        closeSync(fd);
        rmSync(folder, { recursive: true });
    });

    function createReporter(pendingLines: string[] = [], output = fd) {
        const codes: number[] = [];
        const log = {
            fd: output,
            process: "k1",
            takePendingLines: () => pendingLines.splice(0),
            countPendingBytes: () => 0,
        };
        const reporter = new ProcessFailureReporter(log, code => codes.push(code) as never);
        return { reporter, codes };
    }

    function readLines(): Record<string, unknown>[] {
        const lines = readFileSync(join(folder, "log"), "utf8").split("\n").slice(0, -1);
        return lines.map(line => JSON.parse(line) as Record<string, unknown>);
    }

    it("writes the error with its class, message and first frames", () => {
        const { reporter, codes } = createReporter();
        reporter.reportAndExit(ProcessFailureReason.UncaughtError, new RangeError("bad port"));
        expect(codes).toEqual([1]);
        const [line] = readLines();
        const [reason, error, message] = ["uncaught-error", "RangeError", "bad port"];
        expect(line).toMatchObject({ process: "k1", kind: "process-failed", reason, error, message, exitCode: 1 });
        expect(line?.["stack"]).toContain("process-failure-reporter.test");
        expect(line?.["uptimeMs"]).toBeGreaterThan(0);
    });

    it("names the component below nested supervisors", () => {
        const { reporter } = createReporter();
        const inner = new Escalation("storage", "log-writer", new TypeError("no disk"));
        reporter.reportAndExit(ProcessFailureReason.ComponentFailed, new Escalation("root", "storage", inner));
        const [reason, component, error] = ["component-failed", "storage/log-writer", "TypeError"];
        expect(readLines()).toMatchObject([{ reason, component, error }]);
    });

    it("tells a broken invariant from other failures of a component", () => {
        const { reporter } = createReporter();
        const cause = new InvariantViolation(Invariant.OneLeaderPerTerm, "term 3");
        reporter.reportAndExit(ProcessFailureReason.ComponentFailed, new Escalation("root", "keeper", cause));
        expect(readLines()).toMatchObject([{ reason: "invariant-broken", component: "root/keeper" }]);
    });

    it("writes pending lines first, and only one report", () => {
        const { reporter, codes } = createReporter(["{\"kind\":\"target-gone\"}"]);
        reporter.reportAndExit(ProcessFailureReason.UncaughtError, new Error("first"));
        reporter.reportAndExit(ProcessFailureReason.UncaughtError, new Error("second"));
        expect(readLines()).toMatchObject([{ kind: "target-gone" }, { kind: "process-failed", message: "first" }]);
        expect(codes).toEqual([1, 1]);
    });

    it("bounds the line of an endless message and takes values that are no errors", () => {
        const { reporter } = createReporter();
        reporter.reportAndExit(ProcessFailureReason.UnhandledRejection, "x".repeat(100_000));
        expect(readLines()).toMatchObject([{ reason: "unhandled-rejection", error: "string" }]);
        expect(readFileSync(join(folder, "log"), "utf8").length).toBeLessThan(1_000);
    });

    it("ends within a second when nobody reads the pipe of the log", () => {
        const path = join(folder, "pipe");
        execFileSync("mkfifo", [path]);
        const pipe = openSync(path, constants.O_RDWR);
        writeSync(pipe, Buffer.alloc(pipeBytes, "x"));
        const { reporter, codes } = createReporter([], pipe);
        const startedAt = Date.now();
        reporter.reportAndExit(ProcessFailureReason.UncaughtError, new Error("unread"));
        closeSync(pipe);
        expect(codes).toEqual([1]);
        expect(Date.now() - startedAt).toBeLessThan(1_000);
    });

    it("adds to a file at the shared position, so that the next process does not overwrite the line", () => {
        const path = join(folder, "log");
        const output = openSync(path, "w");
        const { reporter } = createReporter([], output);
        reporter.reportAndExit(ProcessFailureReason.UncaughtError, new Error("first"));
        writeSync(output, "{\"kind\":\"process-started\"}\n");
        closeSync(output);
        expect(readLines()).toMatchObject([{ kind: "process-failed" }, { kind: "process-started" }]);
    });

    it("ends when nobody reads the socket of the log", async () => {
        const module = (name: string) => resolve(`packages/daemon/dist/${name}.js`);
        const program = `import { DecisionLog } from "${module("job-scheduler/logging/decision-log")}";
            import { ProcessFailureReporter } from "${module("process-failure/process-failure-reporter")}";
            const log = new DecisionLog("k3", "info");
            const takePendingLines = () => log.takePendingLines();
            const countPendingBytes = () => log.countPendingBytes();
            new ProcessFailureReporter({ fd: 1, process: "k3", takePendingLines, countPendingBytes }).start();
            for (let index = 0; index < 400; index++) {
                log.record("target-gone", { detail: "x".repeat(3_000) });
            }
            setTimeout(() => { throw new RangeError("late"); }, 200);
            setInterval(() => undefined, 1_000);`;
        // Standard output is a socket that this process does not read.
        const child = spawn(process.execPath, ["--input-type=module", "--eval", program], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        let isLate = false;
        const timer = setTimeout(() => {
            isLate = true;
            child.kill("SIGKILL");
        }, 4_000);
        await new Promise(done => child.once("exit", done));
        clearTimeout(timer);
        child.stdout.destroy();
        expect(isLate).toBe(false);
    });

    describe.each([
        ["an uncaught error", "setTimeout(() => { throw new RangeError('late'); }, 1)", "uncaught-error"],
        ["an unhandled rejection", "Promise.reject(new RangeError('late'))", "unhandled-rejection"],
    ])("in a process with %s", (_, code, reason) => {
        it("writes one line and ends with exit code 1", () => {
            const file = resolve("packages/daemon/dist/process-failure/process-failure-reporter.js");
            const program = `import { ProcessFailureReporter } from ${JSON.stringify(file)};
                const log = { fd: 1, process: "k2", takePendingLines: () => [], countPendingBytes: () => 0 };
                new ProcessFailureReporter(log).start();
                setInterval(() => undefined, 1_000);
                ${code};`;
            const { status, stdout } = spawnSync(
                process.execPath,
                ["--input-type=module", "--eval", program],
                { encoding: "utf8" },
            );
            expect(status).toBe(1);
            const lines = stdout.trim().split("\n").map(line => JSON.parse(line) as Record<string, unknown>);
            expect(lines).toMatchObject([{ process: "k2", reason, error: "RangeError", message: "late" }]);
        });
    });
});
