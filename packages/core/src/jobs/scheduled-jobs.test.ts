import { describe, expect, it } from "@jest/globals";

import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { decodeControlState } from "../control/decode-control-state.js";
import { encodeControlState } from "../control/encode-control-state.js";
import { collectCandidates } from "../queueing/collect-candidates.js";
import { SnapshotContent } from "../raft/snapshot-content.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { applyRecordEnds } from "./apply-record-ends.js";
import { applyRecordStarts } from "./apply-record-starts.js";
import { applySubmitJob } from "./apply-submit-job.js";
import { JobPhase } from "./job-phase.js";
import { RunOutcome } from "./run-outcome.js";
import { TaskPhase } from "./task-phase.js";

const capacity = { cpu: 4_000, memory: 1_000, gpu: 0 };
const minuteMs = 60_000;
const occurrencesPerWeek = 10_080;
const estimator = { computeStepMs: () => 500, readMeanJobWork: () => 500 };

function addScheduledJob(
    state: ControlState,
    id: string,
    schedule: { readonly times: number; readonly startAtMs: number; readonly intervalMs: number },
): void {
    const request = { spec: "spec", steps: [buildTestStep({ count: 1 })], ...schedule };
    applySubmitJob(state, { kind: CommandKind.SubmitJob, id, queue: "q-web", account: "team", request, atMs: 0 });
}

function runOccurrence(state: ControlState, occurrence: number, how = RunOutcome.Done): void {
    const run = { task: `a.${occurrence}.0.0`, run: 1, target: "t0" };
    expect(applyRecordStarts(state, { kind: CommandKind.RecordStarts, starts: [run] })).toHaveLength(1);
    const end = { ...run, how, saved: "" };
    expect(applyRecordEnds(state, { kind: CommandKind.RecordEnds, ends: [end], atMs: 0 })).toHaveLength(1);
}

function listWaitingOccurrences(state: ControlState, now: number): number[] {
    return collectCandidates(state.fleet, now, estimator).map(({ occurrence }) => occurrence);
}

describe("scheduled jobs", () => {
    // Guards against keepers running out of memory when small requests schedule many occurrences.
    it("take no more memory for many occurrences than for a few", () => {
        const measure = (times: number): number => {
            const state = buildTestFleet(1, capacity);
            for (let index = 0; index < 20; index++) {
                addScheduledJob(state, `j${index}`, { times, startAtMs: minuteMs, intervalMs: minuteMs });
            }
            return encodeControlState(state).length;
        };
        expect(measure(occurrencesPerWeek)).toBeLessThan(2 * measure(8));
    });

    it("keep nothing of the occurrences that are done", () => {
        const state = buildTestFleet(1, capacity);
        addScheduledJob(state, "a", { times: occurrencesPerWeek, startAtMs: 0, intervalMs: minuteMs });
        const lengthBefore = encodeControlState(state).length;
        for (let occurrence = 0; occurrence < 300; occurrence++) {
            expect(listWaitingOccurrences(state, occurrence * minuteMs)).toEqual([occurrence]);
            runOccurrence(state, occurrence);
        }
        expect(listWaitingOccurrences(state, 299 * minuteMs)).toEqual([]);
        expect(encodeControlState(state).length).toBeLessThan(lengthBefore + 100);
    });

    it("are done when all their occurrences are", () => {
        const state = buildTestFleet(1, capacity);
        addScheduledJob(state, "a", { times: 3, startAtMs: 0, intervalMs: 0 });
        const readPhase = () => state.fleet.jobs.get("a")?.phase;
        runOccurrence(state, 2);
        runOccurrence(state, 0);
        expect([listWaitingOccurrences(state, 0), readPhase()]).toEqual([[1], JobPhase.Running]);
        runOccurrence(state, 1);
        expect([listWaitingOccurrences(state, 0), readPhase()]).toEqual([[], JobPhase.Completed]);
    });

    it("go on from a snapshot", () => {
        for (const times of [8, occurrencesPerWeek]) {
            const state = buildTestFleet(1, capacity);
            addScheduledJob(state, "a", { times, startAtMs: 0, intervalMs: minuteMs });
            runOccurrence(state, 0);
            runOccurrence(state, 2);
            runOccurrence(state, 3, RunOutcome.Stopped);
            const restored = decodeControlState(encodeControlState(state));
            expect(restored.fleet.jobs).toEqual(state.fleet.jobs);
            expect(listWaitingOccurrences(restored, 4 * minuteMs)).toEqual([1, 3, 4]);
        }
    });

    it("go on from a snapshot that holds every task of every occurrence, as earlier versions wrote it", () => {
        const state = buildTestFleet(1, capacity);
        addScheduledJob(state, "a", { times: 4, startAtMs: 0, intervalMs: minuteMs });
        const waiting = { phase: TaskPhase.Waiting, run: 0, failures: 0, saved: "", target: "" };
        const stopped = { ...waiting, run: 1, target: "t0" };
        const done = { ...waiting, phase: TaskPhase.Done, run: 1 };
        const occurrences = [done, waiting, stopped, waiting]
            .map(task => [{ doneCount: task === done ? 1 : 0, tasks: [task] }]);
        const saved = JSON.parse(encodeControlState(state).readText()) as {
            fleet: { jobs: Record<string, unknown>[] };
        };
        const { begunCount: _, ...job } = saved.fleet.jobs[0] ?? {};
        saved.fleet.jobs = [{ ...job, occurrences }];
        const restored = decodeControlState(SnapshotContent.encode([JSON.stringify(saved)]));
        expect(listWaitingOccurrences(restored, 4 * minuteMs)).toEqual([1, 2, 3]);
        expect(restored.fleet.jobs.get("a")).toMatchObject({ begunCount: 3, times: 4 });
        expect([...restored.fleet.jobs.get("a")?.occurrences ?? []]).toEqual(
            [1, 2].map(occurrence => [occurrence, occurrences[occurrence]]),
        );
        expect(decodeControlState(encodeControlState(restored)).fleet.jobs).toEqual(restored.fleet.jobs);
    });
});
