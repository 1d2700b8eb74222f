import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import { CommandKind } from "../control/command-kind.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { applyRecordStarts } from "./apply-record-starts.js";
import { applySubmitJob } from "./apply-submit-job.js";
import { encodeJob } from "./encode-job.js";
import type { JobStep } from "./job-step.js";
import type { Job } from "./job.js";

const runs = 300;
const seed = 59;
const maxSpecBytes = 4_000;
const maxTasks = 20_000;
const target = { id: "t0", capacity: { cpu: 1e9, memory: 1e9, gpu: 0 } };

const unit = fc.constantFrom("x", "\"", "\\", "\n", "\u0001", "\u00e9", "\u4e16", "\u{1F486}", "\uD83D");
const text = fc.array(unit, { maxLength: 40 }).map(units => units.join(""));
const step = fc.record({
    count: fc.integer({ min: 1, max: 600 }),
    after: fc.array(fc.nat(9), { maxLength: 400 }),
    requiredLabel: fc.option(text, { nil: undefined }),
    dataRack: fc.option(text, { nil: undefined }),
    image: text,
});
const shape = fc.record({
    specUnits: fc.array(unit, { minLength: 1, maxLength: 8 }),
    specBytes: fc.nat(maxSpecBytes),
    steps: fc.array(step, { minLength: 1, maxLength: 6 }),
    times: fc.oneof(fc.constant(0), fc.constant(512), fc.nat(maxTasks)),
    begunCount: fc.nat(20),
});

/** Accepts a job and starts its first task in some occurrences. */
function createJob(fields: typeof shape extends fc.Arbitrary<infer Shape> ? Shape : never): [Job, number] {
    const steps: JobStep[] = fields.steps.map((fieldsOfStep, position) =>
        buildTestStep({ ...fieldsOfStep, after: position === 0 ? [] : fieldsOfStep.after.map(() => position - 1) })
    );
    const taskCount = steps.reduce((sum, { count }) => sum + count, 0);
    const times = Math.min(fields.times, Math.floor(maxTasks / taskCount));
    const state = buildTestFleet(1, target.capacity);
    const id = "5c0e7a21d94b36f8";
    const specText = fields.specUnits.join("");
    const spec = specText.repeat(Math.floor(fields.specBytes / Buffer.byteLength(specText)));
    const request = { spec, steps, times, startAtMs: 1_800_000_000_000, intervalMs: 900_000 };
    applySubmitJob(state, { kind: CommandKind.SubmitJob, id, queue: "q-web", account: "team", request, atMs: 1e12 });
    for (let occurrence = 0; occurrence < Math.min(fields.begunCount, times); occurrence++) {
        const start = { task: `${id}.${occurrence}.0.0`, run: 1, target: target.id };
        applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts: [start] });
    }
    const job = state.fleet.jobs.get(id);
    if (job === undefined) {
        throw new TypeError("the job was not accepted");
    }
    return [job, state.fleet.jobBytes.get(id) ?? 0];
}

describe("the estimated memory of a job", () => {
    // All keepers ran out of memory at a snapshot that held 20 times as much as the estimate by which jobs are refused.
    it("is at least what it takes in a snapshot, whatever its shape", () => {
        fc.assert(
            fc.property(shape, fields => {
                const [job, estimate] = createJob(fields);
                const snapshotBytes = Buffer.byteLength(JSON.stringify(encodeJob(job)));
                expect(snapshotBytes).toBeLessThanOrEqual(estimate);
            }),
            { numRuns: runs, seed, endOnFailure: true },
        );
    });

    it("is at least what 512 occurrences that have not begun take in a snapshot", () => {
        const [job, estimate] = createJob({
            specUnits: ["x"],
            specBytes: 100,
            steps: [{ count: 1, after: [], requiredLabel: undefined, dataRack: undefined, image: "" }],
            times: 512,
            begunCount: 0,
        });
        expect(Buffer.byteLength(JSON.stringify(encodeJob(job)))).toBeLessThanOrEqual(estimate);
    });
});
