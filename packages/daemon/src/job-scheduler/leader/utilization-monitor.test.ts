import { describe, expect, it } from "@jest/globals";

import { UtilizationMonitor } from "./utilization-monitor.js";

describe("UtilizationMonitor", () => {
    it("rises at once and falls slowly", () => {
        let now = 0;
        let utilization = 0.2;
        const monitor = new UtilizationMonitor(
            { readMonotonic: () => now },
            () => ({ idle: 0, active: 0, utilization }),
        );
        const readAfter = (ms: number, busy: number) => {
            now += ms;
            utilization = busy;
            return monitor.readUtilization();
        };
        expect(readAfter(100, 0.9)).toBe(0);
        expect(readAfter(150, 0.9)).toBe(0.9);
        expect(readAfter(250, 0.1)).toBeCloseTo(0.66);
        expect(readAfter(250, 0.1)).toBeCloseTo(0.492);
        expect(readAfter(250, 0.95)).toBe(0.95);
    });
});
