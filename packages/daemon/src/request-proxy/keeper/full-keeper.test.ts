import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { spawnSync } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, statSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { parse } from "smol-toml";

import { defaultJobStateMb } from "../../job-scheduler/settings/default-job-state-mb.js";

const bytesPerMegabyte = 1_000_000;
/** Memory and disk of the smallest VMs that keepers run on. */
const vmMemoryBytes = 346 * bytesPerMegabyte;
const vmDiskBytes = 128 * bytesPerMegabyte;
/** Entries of the log that are on the disk while a snapshot replaces them, as the keeper bounds them. */
const logBytes = 16 * bytesPerMegabyte;
const processMs = 60_000;

interface KeeperReport {
    readonly jobs: number;
    readonly estimateBytes: number;
    readonly peakBytes: number;
    readonly hasFailed: boolean;
}

function readHeapOptions(): string[] {
    const { roles } = parse(readFileSync(resolve("deploy/system.toml"), "utf8")) as {
        roles: { keeper: { run: string } };
    };
    return roles.keeper.run.split(" ").filter(argument => argument.startsWith("--"));
}

describe("a keeper with as many jobs as the settings admit, in the heap of the deploy file", () => {
    let folder: string;

    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "daisylock-full-keeper-"));
    });

    afterEach(() => rmSync(folder, { recursive: true }));

    function runKeeper(action: string, shape: object): KeeperReport {
        const program = resolve("packages/daemon/dist/job-scheduler/testing/full-keeper-process.js");
        const { status, stdout, stderr } = spawnSync(
            process.execPath,
            [...readHeapOptions(), program, action, folder, String(defaultJobStateMb), JSON.stringify(shape)],
            { encoding: "utf8", timeout: processMs },
        );
        expect({ action, status, stderr: stderr.slice(0, 500) }).toEqual({ action, status: 0, stderr: "" });
        return JSON.parse(stdout) as KeeperReport;
    }

    // The state, its text, the text of the file and an earlier text were in the heap together, and all keepers ended.
    it.each([
        ["long specs", { unit: "x", unitCount: 4_000, steps: 1, tasks: 1, times: 0 }],
        ["specs beyond Latin-1", { unit: "\u4e16", unitCount: 1_333, steps: 1, tasks: 1, times: 0 }],
        ["many occurrences", { unit: "x", unitCount: 100, steps: 1, tasks: 1, times: 512 }],
    ])("takes snapshots, starts again and receives a snapshot (%s)", (_, shape) => {
        const filled = runKeeper("fill", shape);
        const diskBytes = readdirSync(folder).reduce((sum, file) => sum + statSync(join(folder, file)).size, 0);
        const loaded = runKeeper("load", shape);
        const installed = runKeeper("install", shape);
        expect(filled.estimateBytes).toBeGreaterThan(defaultJobStateMb * bytesPerMegabyte);
        expect(loaded.jobs).toBe(filled.jobs);
        expect(installed.jobs).toBeGreaterThan(0);
        for (const { peakBytes, hasFailed } of [filled, loaded, installed]) {
            expect(hasFailed).toBe(false);
            expect(peakBytes).toBeLessThan(vmMemoryBytes);
        }
        // The next snapshot is written beside this one.
        expect(2 * diskBytes + logBytes).toBeLessThan(vmDiskBytes);
    }, 3 * processMs);
});
