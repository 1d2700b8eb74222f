import { describe, expect, it } from "@jest/globals";

import { ReportedTargetState } from "../targets/reported-target-state.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { computePoolTargetSummary } from "./compute-pool-target-summary.js";
import { TargetExclusion } from "./target-exclusion.js";
import type { TargetStatus } from "./target-status.js";

const usable: TargetStatus = { exclusion: undefined, unconfirmedRuns: [] };

function computeSummary(statuses: readonly TargetStatus[], draining: readonly string[] = []) {
    const { fleet } = buildTestFleet(statuses.length, { cpu: 4_000, memory: 1_000, gpu: 0 });
    for (const [id, record] of fleet.targets) {
        if (draining.includes(id)) {
            fleet.targets.set(id, { ...record, state: ReportedTargetState.Draining });
        }
    }
    return computePoolTargetSummary(fleet, "web", id => statuses[Number(id.slice(1))] ?? usable);
}

describe("computePoolTargetSummary", () => {
    it("counts each target once, as usable or by the reason for which it is not", () => {
        const summary = computeSummary([
            usable,
            ...Object.values(TargetExclusion).map(exclusion => ({ exclusion, unconfirmedRuns: [] })),
            { exclusion: TargetExclusion.Unreachable, unconfirmedRuns: [] },
        ]);
        expect(summary.usable).toBe(1);
        expect(summary.excluded).toEqual({
            ...Object.fromEntries(Object.values(TargetExclusion).map(exclusion => [exclusion, 1])),
            unreachable: 2,
        });
    });

    it("counts a target that has reported that it leaves as draining, whatever its session says", () => {
        const summary = computeSummary([usable, { ...usable, exclusion: TargetExclusion.Overdue }], ["t0", "t1"]);
        expect(summary).toMatchObject({ usable: 0, excluded: { draining: 2, overdue: 0 } });
    });

    it("counts unconfirmed runs, those without a request in flight, and the age of the oldest", () => {
        const summary = computeSummary([
            { exclusion: undefined, unconfirmedRuns: [{ ageMs: 20, isInFlight: true }] },
            {
                exclusion: TargetExclusion.Unreachable,
                unconfirmedRuns: [{ ageMs: 7_000.4, isInFlight: false }, { ageMs: 300, isInFlight: false }],
            },
        ]);
        expect(summary).toMatchObject({ unconfirmed: 3, unsent: 2, oldestUnconfirmedMs: 7_000 });
    });

    it("ignores the targets of other pools", () => {
        const { fleet } = buildTestFleet(2, { cpu: 4_000, memory: 1_000, gpu: 0 });
        const summary = computePoolTargetSummary(fleet, "batch", () => usable);
        expect(summary).toMatchObject({ usable: 0, unconfirmed: 0, unsent: 0, oldestUnconfirmedMs: 0 });
    });
});
