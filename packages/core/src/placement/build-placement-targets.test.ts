import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import type { FleetState } from "../fleet/fleet-state.js";
import { decodeTaskKey } from "../jobs/decode-task-key.js";
import { collectCandidates } from "../queueing/collect-candidates.js";
import { collectPoolLoads } from "../queueing/collect-pool-loads.js";
import { runRandomFleet } from "../testing/run-random-fleet.js";
import { buildPlacementTargets } from "./build-placement-targets.js";
import { collectLeastNeeds } from "./collect-least-needs.js";
import { encodeStepKey } from "./encode-step-key.js";
import { planStarts } from "./plan-starts.js";

/** Derives from the runs on a target what the loads of the fleet state count incrementally. */
function collectRunFacts(fleet: FleetState, target: string): object {
    const stepCounts = new Map<string, number>();
    let servingCpu = 0;
    let hasServingTasks = false;
    let hasFillers = false;
    for (const taskKey of fleet.targetLoads.get(target)?.runs.keys() ?? []) {
        const key = decodeTaskKey(taskKey);
        const step = key === undefined ? undefined : fleet.jobs.get(key.job)?.steps[key.step];
        if (key === undefined || step === undefined) {
            throw new TypeError(`no step of run ${taskKey}`);
        }
        const stepKey = encodeStepKey(key.job, key.occurrence, key.step);
        stepCounts.set(stepKey, (stepCounts.get(stepKey) ?? 0) + 1);
        hasServingTasks ||= step.isLongRunning && !step.isFiller;
        hasFillers ||= step.isFiller;
        servingCpu += step.isLongRunning && !step.isFiller ? step.needs.cpu : 0;
    }
    return { target, stepCounts, hasServingTasks, hasFillers, servingCpu };
}

describe("views of targets for placement", () => {
    it("count the same tasks as the runs on the targets", () => {
        fc.assert(
            fc.property(fc.integer(), seed =>
                runRandomFleet(seed, ({ state: { fleet }, countStartsLeft }) => {
                    const pools = buildPlacementTargets(fleet, countStartsLeft);
                    for (const { record, stepCounts, hasServingTasks, hasFillers } of [...pools.values()].flat()) {
                        const servingCpu = fleet.targetLoads.get(record.id)?.servingCpu ?? 0;
                        expect({ target: record.id, stepCounts, hasServingTasks, hasFillers, servingCpu })
                            .toEqual(collectRunFacts(fleet, record.id));
                    }
                })),
            { numRuns: 60 },
        );
    });

    it("are listed by pool in the order of the targets, without those on which no task may start", () => {
        fc.assert(
            fc.property(fc.integer(), seed =>
                runRandomFleet(seed, ({ state: { fleet }, countStartsLeft }) => {
                    const pools = buildPlacementTargets(fleet, countStartsLeft);
                    for (const { pool } of collectPoolLoads(fleet, [])) {
                        const expected = [...fleet.targets.values()]
                            .filter(target => target.pool === pool && countStartsLeft(target.id) > 0);
                        expect((pools.get(pool) ?? []).map(({ record }) => record)).toEqual(expected);
                    }
                })),
            { numRuns: 30 },
        );
    });

    it("of the targets with room for a waiting task lead to the same starts as those of all targets", () => {
        let starts = 0;
        let fullTargets = 0;
        let roundsWithSuspects = 0;
        fc.assert(
            fc.property(
                fc.integer(),
                seed =>
                    runRandomFleet(seed, ({ state: { fleet }, now, estimator, countStartsLeft }) => {
                        const candidates = collectCandidates(fleet, now, estimator);
                        const leastNeeds = collectLeastNeeds(fleet, candidates);
                        const views = buildPlacementTargets(fleet, countStartsLeft, leastNeeds);
                        const allViews = buildPlacementTargets(fleet, countStartsLeft);
                        roundsWithSuspects += fleet.suspectTasks.size > 0 ? 1 : 0;
                        for (const pool of leastNeeds.keys()) {
                            fullTargets += (allViews.get(pool)?.length ?? 0) - (views.get(pool)?.length ?? 0);
                        }
                        const planned = planStarts(fleet, candidates, views);
                        starts += planned.length;
                        expect(planned).toEqual(planStarts(fleet, candidates, allViews));
                        expect([...views.keys()].every(pool => leastNeeds.has(pool))).toBe(true);
                    }),
            ),
            { numRuns: 30 },
        );
        expect(Math.min(starts, fullTargets, roundsWithSuspects)).toBeGreaterThan(0);
    });
});
