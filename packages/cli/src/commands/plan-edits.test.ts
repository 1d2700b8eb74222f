import { describe, expect, it } from "@jest/globals";

import { planEdits } from "./plan-edits.js";

const tables = {
    team: [{ name: "spas", revision: 1, share: 1, upperLimit: 4, isolatedService: "refuse" }],
    pool: [{ name: "front", revision: 1, maxUnavailablePercent: 25, spare: false }],
    vm: [],
    route: [],
};

describe("planEdits", () => {
    it("returns only the objects that differ", () => {
        const desired = {
            team: { spas: { share: 1, upperLimit: 4, isolatedService: "refuse" } },
            pool: { front: { maxUnavailablePercent: 50, spare: false } },
        };
        expect(planEdits(tables, desired, false)).toEqual([
            { kind: "pool", name: "front", value: { maxUnavailablePercent: 50, spare: false } },
        ]);
    });

    it("removes objects that are not in the file only when pruning", () => {
        expect(planEdits(tables, {}, false)).toEqual([]);
        expect(planEdits(tables, {}, true)).toEqual([{ kind: "team", name: "spas" }, { kind: "pool", name: "front" }]);
    });
});
