import { describe, expect, it } from "@jest/globals";

import { collectJobHistory } from "./collect-job-history.js";
import { describeJobHistory } from "./describe-job-history.js";
import type { LogLine } from "./log-line.js";
import { parseLogLine } from "./parse-log-line.js";

const id = "5c0e7a21d94b36f8";

function buildLogLine(second: number, kind: string, fields: LogLine["fields"], process = "core-1"): LogLine {
    return { time: new Date(second * 1_000).toISOString(), process, kind, fields };
}

const logLines = [
    buildLogLine(14, "task-ended", { task: `${id}.0.0.1`, run: 1, how: "lapsed", target: "t2" }),
    buildLogLine(9, "job-accepted", { job: id, queue: "q" }),
    buildLogLine(9.1, "task-placed", { task: `${id}.0.0.1`, run: 1, target: "t2" }),
    buildLogLine(9.1, "task-placed", { task: "ffff7a21d94b36f8.0.0.1", run: 1, target: "t9" }),
    buildLogLine(10, "target-unreachable", { target: "t2", result: "unanswered" }),
    buildLogLine(10, "target-unreachable", { target: "t9", result: "unanswered" }),
    buildLogLine(12, "leadership-gained", { term: 2 }, "core-2"),
    buildLogLine(60, "leadership-gained", { term: 3 }, "core-3"),
    buildLogLine(8.9, "call-unanswered", { path: `/web/${id}`, outcome: "unavailable" }, "edge-1"),
];

describe("job history", () => {
    it("contains the job's lines, those of its targets and leadership changes in its time range, in order", () => {
        expect(collectJobHistory(logLines, id).map(({ kind }) => kind)).toEqual([
            "call-unanswered",
            "job-accepted",
            "task-placed",
            "target-unreachable",
            "leadership-gained",
            "task-ended",
        ]);
    });

    it("is empty for an unknown id", () => {
        expect(collectJobHistory(logLines, "0000000000000000")).toEqual([]);
    });

    it("is described with times relative to the first line and a summary of run outcomes", () => {
        const lines = describeJobHistory(collectJobHistory(logLines, id));
        expect(lines[1]).toBe(`+   0.100 s  core-1  job-accepted  job=${id} queue=q`);
        expect(lines.at(-1)).toBe("runs: 1 lapsed");
    });

    it("is read from log lines with any prefix before the JSON, and other lines are skipped", () => {
        const text = `  9.1 core-1 {"time":"t","level":"info","process":"core-1","kind":"job-accepted","job":"${id}"}`;
        expect(parseLogLine(text)).toEqual({ time: "t", process: "core-1", kind: "job-accepted", fields: { job: id } });
        expect(parseLogLine("built in 3 s")).toBeUndefined();
        expect(parseLogLine("{ not JSON")).toBeUndefined();
    });
});
