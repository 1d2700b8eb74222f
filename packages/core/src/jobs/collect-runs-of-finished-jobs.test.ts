import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import type { FleetState } from "../fleet/fleet-state.js";
import { runRandomFleet } from "../testing/run-random-fleet.js";
import { collectRunsOfFinishedJobs } from "./collect-runs-of-finished-jobs.js";
import { decodeTaskKey } from "./decode-task-key.js";
import { isJobFinished } from "./is-job-finished.js";
import type { TaskStart } from "./task-start.js";

/** Collects the same runs from the loads of all targets. */
function collectRunsByTarget(fleet: FleetState): TaskStart[] {
    return [...fleet.targetLoads].flatMap(([target, { runs }]) =>
        [...runs].map(([task, run]) => ({ task, run, target }))
    ).filter(({ task }) => {
        const job = fleet.jobs.get(decodeTaskKey(task)?.job ?? "");
        return job !== undefined && isJobFinished(job);
    });
}

function compareTasks(a: TaskStart, b: TaskStart): number {
    return a.task.localeCompare(b.task);
}

describe("runs of finished jobs", () => {
    it("are all runs on targets whose job has ended", () => {
        let found = 0;
        fc.assert(
            fc.property(fc.integer(), seed =>
                runRandomFleet(seed, ({ state: { fleet } }) => {
                    const runs = collectRunsOfFinishedJobs(fleet);
                    found += runs.length;
                    expect(runs.sort(compareTasks)).toEqual(collectRunsByTarget(fleet).sort(compareTasks));
                })),
            { numRuns: 60 },
        );
        expect(found).toBeGreaterThan(0);
    });
});
