import { describe, expect, it } from "@jest/globals";
import { closeSync, openSync, type WriteStream } from "node:fs";
import { devNull } from "node:os";

import { DecisionKind } from "./decision-kind.js";
import { DecisionLog } from "./decision-log.js";
import { openLogOutput } from "./open-log-output.js";

/** Longer than lines wait for a common write. */
const batchWaitMs = 50;

/** An output whose reader reads everything at once. */
function createOutput(writableLength = 0) {
    const writes: string[] = [];
    const stream = { writableLength, write: (text: string) => writes.push(text) };
    return { writes, stream: stream as unknown as WriteStream, readLines: () => readLines(writes) };
}

/** An output whose reader never reads, so that every line stays in its buffer. */
function createBlockedOutput() {
    const writes: string[] = [];
    const stream = {
        writableLength: 0,
        write: (text: string) => {
            writes.push(text);
            stream.writableLength += text.length;
        },
    };
    const readBufferedBytes = () => stream.writableLength;
    return { stream: stream as unknown as WriteStream, readLines: () => readLines(writes), readBufferedBytes };
}

async function readLines(writes: readonly string[]): Promise<string[]> {
    await new Promise(resolve => setTimeout(resolve, batchWaitMs));
    return writes.join("").split("\n").slice(0, -1);
}

const longDetail = "x".repeat(2_000);
const maxBufferedBytes = 262_144;
const pipeBytes = 4_096;

describe("DecisionLog", () => {
    it("writes one JSON line for each decision", async () => {
        const { readLines: read, stream } = createOutput();
        new DecisionLog("p1", "info", stream).record(DecisionKind.JobAccepted, { job: "a", tasks: 3 });
        const [line] = await read();
        expect(JSON.parse(line ?? "")).toMatchObject({ process: "p1", kind: "job-accepted", job: "a", tasks: 3 });
    });

    // Lines of bursts were torn: a reader of the pipe took a part of a write that was larger than a pipe takes at once.
    it("writes no more at once than a pipe takes whole, and no line in two parts", async () => {
        const { writes, readLines: read, stream } = createOutput();
        const log = new DecisionLog("p6", "info", stream);
        for (let index = 0; index < 200; index++) {
            log.record(DecisionKind.TargetReachable, { index, detail: longDetail.slice(0, index) });
        }
        expect(await read()).toHaveLength(200);
        expect(Math.max(...writes.map(text => text.length))).toBeLessThanOrEqual(pipeBytes);
        expect(writes.every(text => text.endsWith("\n"))).toBe(true);
    });

    it("limits the lines of each kind separately", async () => {
        const { readLines: read, stream } = createOutput();
        const log = new DecisionLog("p2", "info", stream);
        for (let index = 0; index < 10_000; index++) {
            log.record(DecisionKind.KeyRefused, { index });
        }
        log.record(DecisionKind.LeadershipLost, { term: 1 });
        const lines = await read();
        expect(lines.length).toBeLessThanOrEqual(501);
        expect(lines.at(-1)).toContain("leadership-lost");
    });

    it("writes all lines of some jobs, none of the others, and the periodic lines under a flood of jobs", async () => {
        const { readLines: read, stream } = createOutput();
        const log = new DecisionLog("p7", "info", stream);
        const linesPerJob = 10;
        for (let line = 0; line < linesPerJob; line++) {
            for (let job = 0; job < 500; job++) {
                log.record(DecisionKind.TaskStarted, { task: `${job}.0.0.${line}`, run: 1 });
            }
            log.record(DecisionKind.LeaderLoad, { line });
        }
        const kept = (await read()).map(line => JSON.parse(line) as { kind: string; task?: string });
        expect(kept.filter(({ kind }) => kind === "leader-load")).toHaveLength(linesPerJob);
        const counts = new Map<string, number>();
        for (const { task } of kept) {
            const [job = ""] = task?.split(".") ?? [];
            counts.set(job, (counts.get(job) ?? 0) + (task === undefined ? 0 : 1));
        }
        counts.delete("");
        expect(counts.size).toBeGreaterThan(30);
        expect(counts.size).toBeLessThan(500);
        expect([...counts.values()].every(count => count === linesPerJob)).toBe(true);
    });

    it("drops lines instead of waiting for a slow reader", async () => {
        const { readLines: read, stream } = createOutput(10_000_000);
        new DecisionLog("p3", "info", stream).record(DecisionKind.TaskPlaced, {});
        expect(await read()).toEqual([]);
    });

    it("still writes rare lines after lines of jobs and tasks have filled their part of the buffer", async () => {
        const { readLines: read, stream } = createBlockedOutput();
        const log = new DecisionLog("p4", "info", stream);
        for (let index = 0; index < 400; index++) {
            log.record(DecisionKind.TaskPlaced, { index, detail: longDetail });
            log.record(DecisionKind.JobAccepted, { index, detail: longDetail });
        }
        log.record(DecisionKind.LeadershipGained, { term: 2 });
        const lines = await read();
        expect(lines.length).toBeLessThan(800);
        expect(lines.at(-1)).toContain("leadership-gained");
    });

    it("limits the buffer for rare lines too", async () => {
        const { stream, readLines: read, readBufferedBytes } = createBlockedOutput();
        const log = new DecisionLog("p5", "info", stream);
        for (let index = 0; index < 400; index++) {
            log.record(DecisionKind.TargetUnreachable, { index, detail: longDetail });
        }
        await read();
        expect(readBufferedBytes()).toBeGreaterThan(maxBufferedBytes / 2);
        expect(readBufferedBytes()).toBeLessThan(maxBufferedBytes + 2 * longDetail.length);
    });

    // The process ended with EPIPE when the reader of its standard output did.
    it("goes on when its output can't be written, and counts the lines that are lost", async () => {
        const fd = openSync(devNull, "r");
        const log = new DecisionLog("p8", "info", openLogOutput(fd));
        let droppedCount = 0;
        log.addListener({ noteDecision: () => undefined, noteDroppedLine: () => droppedCount++ });
        for (let round = 0; round < 4; round++) {
            for (let index = 0; index < 100; index++) {
                log.record(DecisionKind.TargetUnreachable, { index, detail: longDetail });
            }
            await new Promise(resolve => setTimeout(resolve, batchWaitMs));
        }
        expect(droppedCount).toBeGreaterThan(100);
        closeSync(fd);
    });
});
