import { describe, expect, it } from "@jest/globals";

import { planEdits } from "./plan-edits.js";

const tables = {
    team: [{ name: "spas", revision: 1, share: 1, upperLimit: 4, isolatedService: "refuse" }],
    pool: [{ name: "front", revision: 1, maxUnavailablePercent: 25, spare: false }],
    vm: [],
    route: [],
};

describe("the edits of a file", () => {
    it("leave out what is equal and name what differs", () => {
        const wanted = {
            team: { spas: { share: 1, upperLimit: 4, isolatedService: "refuse" } },
            pool: { front: { maxUnavailablePercent: 50, spare: false } },
        };
        expect(planEdits(tables, wanted, false)).toEqual([
            { kind: "pool", name: "front", value: { maxUnavailablePercent: 50, spare: false } },
        ]);
    });

    it("remove what the file does not name only when asked to", () => {
        expect(planEdits(tables, {}, false)).toEqual([]);
        expect(planEdits(tables, {}, true)).toEqual([{ kind: "team", name: "spas" }, { kind: "pool", name: "front" }]);
    });
});
