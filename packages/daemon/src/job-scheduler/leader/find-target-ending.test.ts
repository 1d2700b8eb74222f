import { describe, expect, it } from "@jest/globals";

import { VmState } from "../vms/vm-state.js";
import { findTargetEnding } from "./find-target-ending.js";
import { TargetEnding } from "./target-ending.js";

describe("findTargetEnding", () => {
    const target = { id: "t0", pool: "web" };
    const view = { vm: "vm0", pool: "web", state: VmState.Up, target: "t0" };

    it("tells a target whose process has stopped from one whose VM was taken away", () => {
        expect(findTargetEnding(target, { ...view, state: VmState.Down })).toBe(TargetEnding.Stopped);
        expect(findTargetEnding(target, { ...view, target: "t1" })).toBe(TargetEnding.Stopped);
        expect(findTargetEnding(target, { ...view, target: "t1", pool: "batch" })).toBe(TargetEnding.VmTaken);
        expect(findTargetEnding(target, { ...view, target: "", state: VmState.Moving })).toBe(TargetEnding.VmTaken);
        expect(findTargetEnding(target, { ...view, target: "", state: VmState.Maintenance })).toBe(
            TargetEnding.VmTaken,
        );
        expect(findTargetEnding(target, undefined)).toBe(TargetEnding.VmTaken);
    });

    it("does not take a target for ended that its VM still runs, or while there is no recent list", () => {
        expect(findTargetEnding(target, view)).toBeUndefined();
        expect(findTargetEnding(target, "unknown")).toBeUndefined();
    });
});
