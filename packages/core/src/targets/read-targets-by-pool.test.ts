import { describe, expect, it, jest } from "@jest/globals";
import fc from "fast-check";

import { buildPlacementTargets } from "../placement/build-placement-targets.js";
import { collectCandidates } from "../queueing/collect-candidates.js";
import { collectPoolLoads } from "../queueing/collect-pool-loads.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { readTargetsByPool } from "./read-targets-by-pool.js";

const capacity = { cpu: 4_000, memory: 1_000, gpu: 0 };

describe("targets by pool", () => {
    it("are those of the table after any changes", () => {
        const change = fc.tuple(fc.nat(8), fc.constantFrom("web", "batch", "removed", "cleared"));
        fc.assert(fc.property(fc.array(change, { maxLength: 40 }), changes => {
            const { targets } = buildTestFleet(4, capacity).fleet;
            const template = targets.get("t0");
            for (const [number, pool] of changes) {
                const id = `t${number}`;
                if (pool === "cleared") {
                    targets.clear();
                }
                else if (pool === "removed" || template === undefined) {
                    targets.delete(id);
                }
                else {
                    targets.set(id, { ...template, id, pool });
                }
                const byPool = readTargetsByPool(targets);
                const records = [...targets.values()];
                expect([...byPool.keys()].sort()).toEqual([...new Set(records.map(record => record.pool))].sort());
                for (const [name, listed] of byPool) {
                    expect(listed).toEqual(records.filter(record => record.pool === name));
                }
            }
        }));
    });

    // Each round went through all targets for the pools with late steps, and the load lines once more for each pool.
    it("are not collected again in a round while no target has changed", () => {
        const state = buildTestFleet(378, capacity);
        addTestJob(state, "a", [buildTestStep()]);
        const { fleet } = state;
        const estimator = { computeStepMs: () => 500, readMeanJobWork: () => 500 };
        const runRound = () => {
            const candidates = collectCandidates(fleet, 1e9, estimator);
            expect(candidates.some(({ slackMs }) => slackMs < 0)).toBe(true);
            buildPlacementTargets(fleet, () => 0);
            collectPoolLoads(fleet, candidates);
        };
        runRound();
        const readValues = jest.spyOn(fleet.targets, "values");
        runRound();
        expect(readValues).not.toHaveBeenCalled();
    });
});
