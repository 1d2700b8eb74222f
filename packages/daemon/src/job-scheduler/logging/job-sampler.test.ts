import { describe, expect, it } from "@jest/globals";

import { JobSampler } from "./job-sampler.js";

/** Runs jobs whose lines come over their run time, and counts the lines of each that were kept. */
function runJobs(jobsPerSecond: number, linesPerJob: number, seconds: number) {
    const sampler = new JobSampler();
    const runMs = 1_500;
    const lines: { at: number; job: string }[] = [];
    for (let job = 0; job < jobsPerSecond * seconds; job++) {
        const startedAt = job * 1_000 / jobsPerSecond;
        for (let line = 0; line < linesPerJob; line++) {
            lines.push({ at: startedAt + line * runMs / linesPerJob, job: `job-${job}` });
        }
    }
    const keptLines = new Map<string, number>();
    const keptBySecond = new Map<number, number>();
    for (const { at, job } of lines.sort((a, b) => a.at - b.at)) {
        const isKept = sampler.isLineKept(job, at);
        keptLines.set(job, (keptLines.get(job) ?? 0) + (isKept ? 1 : 0));
        const second = Math.floor(at / 1_000);
        keptBySecond.set(second, (keptBySecond.get(second) ?? 0) + (isKept ? 1 : 0));
    }
    return { keptLines: [...keptLines.values()], keptBySecond };
}

describe("JobSampler", () => {
    it("keeps every line under light load", () => {
        const { keptLines } = runJobs(20, 41, 10);
        expect(keptLines.every(count => count === 41)).toBe(true);
    });

    it("keeps all lines of a job or none at 5,000 lines a second, and many whole jobs", () => {
        const { keptLines } = runJobs(122, 41, 10);
        expect(keptLines.filter(count => count !== 0 && count !== 41)).toEqual([]);
        expect(keptLines.filter(count => count === 41).length).toBeGreaterThan(200);
    });

    it("keeps no more lines than its budget at 5,000 lines a second, but for those saved up before", () => {
        for (const linesPerJob of [10, 41, 100]) {
            const seconds = 60;
            const { keptBySecond } = runJobs(5_000 / linesPerJob, linesPerJob, seconds);
            const total = [...keptBySecond.values()].reduce((sum, count) => sum + count, 0);
            expect(total).toBeLessThan(1_500 * (seconds + 1) * 1.2);
            expect(total).toBeGreaterThan(1_500 * seconds * 0.6);
        }
    });
});
