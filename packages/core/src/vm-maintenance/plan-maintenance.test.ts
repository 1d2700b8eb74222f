import { describe, expect, it } from "@jest/globals";

import type { AffectedRun } from "./affected-run.js";
import type { MaintenanceCandidate } from "./maintenance-candidate.js";
import { planMaintenance } from "./plan-maintenance.js";

function buildRun(fields: Partial<AffectedRun> = {}): AffectedRun {
    return {
        task: "a.0.0.0",
        run: 1,
        isLongRunning: false,
        hasCheckpoints: false,
        isDispensable: false,
        isRemovable: false,
        isStopping: false,
        ...fields,
    };
}

function buildVm(vm: string, runs: AffectedRun[], drainingSince?: number): MaintenanceCandidate {
    return { vm, target: `t-${vm}`, runs, drainingSince, unchangedSince: 0 };
}

const wave = { cap: 2, deadlineAt: 20_000, downCount: 0, maintenanceMs: 2_000, now: 0, takeRoom: () => true };

describe("waves of maintenance", () => {
    it("never takes down more VMs than the cap, including those already down", () => {
        const waiting = ["a", "b", "c", "d"].map(vm => buildVm(vm, [], 0));
        expect(planMaintenance({ ...wave, waiting }).vmsToStart).toHaveLength(2);
        expect(planMaintenance({ ...wave, waiting, downCount: 1 }).vmsToStart).toHaveLength(1);
        expect(planMaintenance({ ...wave, waiting, downCount: 2 }).draining).toEqual([]);
    });

    it("drains a VM before its maintenance, the least loaded first", () => {
        const waiting = [
            buildVm("full", [buildRun(), buildRun()]),
            buildVm("light", [buildRun()]),
            buildVm("free", []),
        ];
        const plan = planMaintenance({ ...wave, waiting });
        expect(plan.draining).toEqual(["free", "light"]);
        expect(plan.vmsToStart).toEqual([]);
    });

    it("waits for short tasks, moves those with checkpoints, and stops the others only after the grace period", () => {
        const waiting = [buildVm("a", [buildRun({ hasCheckpoints: true }), buildRun()], 0)];
        expect(planMaintenance({ ...wave, waiting, now: 1_000 }).stops).toEqual([]);
        expect(planMaintenance({ ...wave, waiting, now: 2_000 }).stops).toHaveLength(1);
        expect(planMaintenance({ ...wave, waiting, now: 2_000 }).vmsToStart).toEqual([]);
        expect(planMaintenance({ ...wave, waiting, now: 7_000 })).toMatchObject({ stops: [{}, {}], vmsToStart: [] });
        expect(planMaintenance({ ...wave, waiting: [buildVm("a", [], 0)], now: 7_000 }).vmsToStart).toEqual(["a"]);
    });

    it("stops a long-running task only when its step tolerates that, and starts no maintenance while one runs", () => {
        const needed = buildRun({ isLongRunning: true });
        const overdueWave = { ...wave, now: 30_000, deadlineAt: 20_000 };
        expect(planMaintenance({ ...overdueWave, waiting: [buildVm("a", [needed], 0)] })).toMatchObject({
            stops: [],
            vmsToStart: [],
        });
        const dispensable = buildRun({ isLongRunning: true, isDispensable: true });
        expect(planMaintenance({ ...wave, waiting: [buildVm("a", [dispensable], 0)] }).stops).toHaveLength(1);
    });

    describe("long-running tasks for which there is no room elsewhere", () => {
        const withoutRoom = { ...wave, takeRoom: () => false };
        const buildTask = (index: number, fields: Partial<AffectedRun> = {}) =>
            buildRun({ task: `a.0.0.${index}`, isLongRunning: true, isDispensable: true, ...fields });

        // Guards against a stopped task and a wave that wait for each other.
        it("are not stopped while others that stay keep the VM from being emptied", () => {
            const waiting = [buildVm("a", [buildTask(0, { isRemovable: true }), buildTask(1), buildTask(2)], 0)];
            expect(planMaintenance({ ...withoutRoom, waiting, now: 5_900 }).stops).toEqual([]);
        });

        it("are stopped after the grace period when the VM can be emptied, as they run on it again soon", () => {
            const waiting = [
                buildVm("a", [buildTask(0, { isRemovable: true }), buildTask(1, { isRemovable: true })], 0),
            ];
            expect(planMaintenance({ ...withoutRoom, waiting, now: 2_900 }).stops).toEqual([]);
            expect(planMaintenance({ ...withoutRoom, waiting, now: 3_000 }).stops).toHaveLength(2);
        });

        it("have the VM postponed, which leaves its turn to another and takes starts meanwhile", () => {
            const waiting = [buildVm("a", [buildTask(0)], 0), buildVm("b", [buildTask(1), buildTask(2)])];
            expect(planMaintenance({ ...withoutRoom, waiting, cap: 1, now: 5_900 })).toMatchObject({
                draining: ["a"],
                postponed: [],
            });
            expect(planMaintenance({ ...withoutRoom, waiting, cap: 1, now: 6_000 })).toMatchObject({
                draining: [],
                postponed: ["a"],
            });
        });

        it("have it postponed later where there is room, and others of their step are away", () => {
            const waiting = [buildVm("a", [buildTask(0, { isDispensable: false })], 0)];
            expect(planMaintenance({ ...wave, waiting, now: 14_900 }).postponed).toEqual([]);
            expect(planMaintenance({ ...wave, waiting, now: 15_000 })).toMatchObject({
                draining: [],
                postponed: ["a"],
            });
        });

        it("do not have it postponed while tasks leave one after the other", () => {
            const waiting = [{ ...buildVm("a", [buildTask(0)], 0), unchangedSince: 4_000 }];
            expect(planMaintenance({ ...withoutRoom, waiting, now: 9_900 }).postponed).toEqual([]);
            expect(planMaintenance({ ...withoutRoom, waiting, now: 10_000 }).postponed).toEqual(["a"]);
        });

        it("take the room that is left by those that are being stopped", () => {
            let room = 1;
            const takeRoom = () => room-- > 0;
            const waiting = [buildVm("a", [buildTask(0), buildTask(1, { isStopping: true })], 0)];
            const { stops } = planMaintenance({ ...wave, waiting, takeRoom });
            expect(stops.map(({ run }) => run.task)).toEqual(["a.0.0.1"]);
        });
    });
});
