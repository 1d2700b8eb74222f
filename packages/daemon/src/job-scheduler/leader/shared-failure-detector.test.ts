import { describe, expect, it } from "@jest/globals";

import { SharedFailureDetector } from "./shared-failure-detector.js";

describe("SharedFailureDetector", () => {
    const targets = ["a", "b", "c", "d", "e"].map((id, index) => ({
        id,
        rack: index < 3 ? "r0" : "r1",
        zone: "z0",
    }));
    const isShared = (detector: SharedFailureDetector, position: number, ended: readonly string[]) => {
        const target = targets[position];
        return target !== undefined && detector.isShared(target, targets, id => ended.includes(id));
    };

    it("takes targets that end with all others of their rack or zone for victims of its failure", () => {
        expect(isShared(new SharedFailureDetector(), 0, ["a", "b", "c"])).toBe(true);
        expect(isShared(new SharedFailureDetector(), 3, ["a", "b", "c", "d", "e"])).toBe(true);
    });

    it("remembers the others, which are removed one after the other", () => {
        const detector = new SharedFailureDetector();
        isShared(detector, 0, ["a", "b", "c"]);
        expect(isShared(detector, 1, ["b"])).toBe(true);
        detector.dropRemoved(() => false);
        expect(isShared(detector, 1, ["b"])).toBe(false);
    });

    it("takes a target for crashed while others of its rack run, or they are too few to tell", () => {
        expect(isShared(new SharedFailureDetector(), 0, ["a", "b"])).toBe(false);
        expect(isShared(new SharedFailureDetector(), 3, ["d", "e"])).toBe(false);
    });
});
