import { describe, expect, it } from "@jest/globals";
import type { WriteStream } from "node:fs";

import { DecisionKind } from "./decision-kind.js";
import { DecisionLog } from "./decision-log.js";

const batching = { cork: () => undefined, uncork: () => undefined };

function createOutput(writableLength = 0) {
    const lines: string[] = [];
    const stream = { ...batching, writableLength, write: (line: string) => lines.push(line) };
    return { lines, stream: stream as unknown as WriteStream };
}

/** An output whose reader never reads, so that every line stays in its buffer. */
function createBlockedOutput() {
    const lines: string[] = [];
    const stream = {
        ...batching,
        writableLength: 0,
        write: (line: string) => {
            lines.push(line);
            stream.writableLength += line.length;
        },
    };
    return { lines, stream: stream as unknown as WriteStream, readBufferedBytes: () => stream.writableLength };
}

const longDetail = "x".repeat(2_000);
const maxBufferedBytes = 262_144;

describe("DecisionLog", () => {
    it("writes one JSON line for each decision", () => {
        const { lines, stream } = createOutput();
        new DecisionLog("p1", "info", stream).record(DecisionKind.JobAccepted, { job: "a", tasks: 3 });
        expect(JSON.parse(lines[0] ?? "")).toMatchObject({ process: "p1", kind: "job-accepted", job: "a", tasks: 3 });
    });

    it("limits the lines of each kind separately", () => {
        const { lines, stream } = createOutput();
        const log = new DecisionLog("p2", "info", stream);
        for (let index = 0; index < 10_000; index++) {
            log.record(DecisionKind.TaskPlaced, { index });
        }
        log.record(DecisionKind.LeadershipLost, { term: 1 });
        expect(lines.length).toBeLessThanOrEqual(501);
        expect(lines.at(-1)).toContain("leadership-lost");
    });

    it("drops lines instead of waiting for a slow reader", () => {
        const { lines, stream } = createOutput(10_000_000);
        new DecisionLog("p3", "info", stream).record(DecisionKind.TaskPlaced, {});
        expect(lines).toEqual([]);
    });

    it("still writes rare lines after lines of jobs and tasks have filled their part of the buffer", () => {
        const { lines, stream } = createBlockedOutput();
        const log = new DecisionLog("p4", "info", stream);
        for (let index = 0; index < 400; index++) {
            log.record(DecisionKind.TaskPlaced, { index, detail: longDetail });
            log.record(DecisionKind.JobAccepted, { index, detail: longDetail });
        }
        log.record(DecisionKind.LeadershipGained, { term: 2 });
        expect(lines.length).toBeLessThan(800);
        expect(lines.at(-1)).toContain("leadership-gained");
    });

    it("limits the buffer for rare lines too", () => {
        const { stream, readBufferedBytes } = createBlockedOutput();
        const log = new DecisionLog("p5", "info", stream);
        for (let index = 0; index < 400; index++) {
            log.record(DecisionKind.TargetUnreachable, { index, detail: longDetail });
        }
        expect(readBufferedBytes()).toBeGreaterThan(maxBufferedBytes / 2);
        expect(readBufferedBytes()).toBeLessThan(maxBufferedBytes + 2 * longDetail.length);
    });
});
