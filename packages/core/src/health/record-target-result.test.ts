import { describe, expect, it } from "@jest/globals";

import { createTargetHealth } from "./create-target-health.js";
import { HealthState } from "./health-state.js";
import { isTargetUsable } from "./is-target-usable.js";
import { recordTargetResult } from "./record-target-result.js";

describe("target health", () => {
    it("ejects a target after three consecutive failures, and readmits it one request at a time", () => {
        const health = createTargetHealth();
        [0, 1, 2].forEach(now => recordTargetResult(health, true, now));
        expect(isTargetUsable(health, 0, 500)).toBe(false);
        expect(isTargetUsable(health, 0, 1_100)).toBe(true);
        expect(isTargetUsable(health, 1, 1_100)).toBe(false);
        for (let success = 0; success < 5; success++) {
            recordTargetResult(health, false, 1_200);
        }
        expect(health.state).toBe(HealthState.Healthy);
    });

    it("doubles the ejection time when a probe fails", () => {
        const health = createTargetHealth();
        [0, 1, 2].forEach(now => recordTargetResult(health, true, now));
        expect(isTargetUsable(health, 0, 1_100)).toBe(true);
        recordTargetResult(health, true, 1_200);
        expect(isTargetUsable(health, 0, 3_100)).toBe(false);
        expect(isTargetUsable(health, 0, 3_300)).toBe(true);
    });

    it("ejects a target when most of the recent results are failures, with successes in between", () => {
        const health = createTargetHealth();
        for (let result = 0; result < 60 && health.state === HealthState.Healthy; result++) {
            recordTargetResult(health, result % 3 !== 0, result);
        }
        expect(health.state).toBe(HealthState.Ejected);
    });
});
