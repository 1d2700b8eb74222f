import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import { applyCommand } from "../control/apply-command.js";
import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { createControlState } from "../control/create-control-state.js";
import { decodeControlState } from "../control/decode-control-state.js";
import { encodeControlState } from "../control/encode-control-state.js";
import { StartWaveOutcome } from "../control/start-wave-outcome.js";
import { ObjectKind } from "../tables/object-kind.js";
import type { TableEdit } from "../tables/table-edit.js";
import { computeMaxUnavailable } from "./compute-max-unavailable.js";
import type { MaintenanceVm } from "./maintenance-vm.js";
import { PauseReason } from "./pause-reason.js";
import { planWave } from "./plan-wave.js";
import { VmStep } from "./vm-step.js";
import { WaveStatus } from "./wave-status.js";
import type { Wave } from "./wave.js";

const timing = { returnTimeoutMs: 10_000, probationMs: 1_000 };
const names = Array.from({ length: 8 }, (_unused, number) => `vm-${number}`);

function createControl(percent: number): ControlState {
    const control = createControlState();
    const edits: TableEdit[] = [
        { kind: ObjectKind.Pool, name: "front", value: { maxUnavailablePercent: percent, spare: false } },
        ...names.map((name, number) => ({
            kind: ObjectKind.Vm as const,
            name,
            value: { pool: "front", zone: "a", rack: `r${Math.floor(number / 4)}` },
        })),
    ];
    applyCommand(control, { kind: CommandKind.ChangeTables, changeId: "tables-0", edits });
    applyCommand(control, { kind: CommandKind.StartWave, waveId: "w", vms: names, at: 0 });
    return control;
}

function readFleet(control: ControlState, down: ReadonlySet<string>, incarnations: ReadonlyMap<string, number>) {
    return new Map<string, MaintenanceVm>(
        [...control.tables.objects.vm.values()].map(({ name: vm, value }) => [
            vm,
            { vm, ...value, isReady: !down.has(vm), isDrained: true, incarnation: incarnations.get(vm) ?? 1 },
        ]),
    );
}

function runStep(
    control: ControlState,
    down: ReadonlySet<string>,
    incarnations: ReadonlyMap<string, number>,
    now: number,
) {
    const wave = control.waves.get("w") as Wave;
    const vms = control.tables.objects.vm.size;
    const percent = control.tables.objects.pool.get("front")?.value.maxUnavailablePercent ?? 0;
    const maxUnavailable = computeMaxUnavailable(vms, percent);
    const budgets = new Map([["front", { pool: "front", vms, maxUnavailable }]]);
    const plan = planWave({ wave, waves: [wave], fleet: readFleet(control, down, incarnations), budgets, timing, now });
    const committed = applyCommand(control, {
        kind: CommandKind.StepWave,
        waveId: "w",
        transitions: plan.transitions,
        down: [...down],
        status: plan.pause === undefined ? undefined : WaveStatus.Paused,
        pauseReason: plan.pause,
        at: now,
    });
    return { plan, committed };
}

const countSteps = (control: ControlState, step: VmStep) =>
    [...control.waves.get("w")?.vms.values() ?? []].filter(state => state.step === step).length;

describe("a wave", () => {
    it("drains no more VMs than the budget allows, and starts with a single rack", () => {
        const control = createControl(25);
        const { committed } = runStep(control, new Set(), new Map(), 0);
        expect(committed.map(({ vm }) => vm)).toEqual(["vm-0", "vm-1"]);
        expect(runStep(control, new Set(), new Map(), 1).committed.map(({ to }) => to)).toEqual([
            VmStep.Rebooting,
            VmStep.Rebooting,
        ]);
    });

    it("counts VMs that are down for other reasons against the budget, and drains them without extra budget", () => {
        const control = createControl(25);
        const { committed } = runStep(control, new Set(["vm-6"]), new Map(), 0);
        expect(committed.map(({ vm }) => vm).sort()).toEqual(["vm-0", "vm-6"]);
    });

    it("pauses when VMs do not return, and continues from the persisted state under a new leader", () => {
        const control = createControl(25);
        runStep(control, new Set(), new Map(), 0);
        runStep(control, new Set(), new Map(), 1);
        const down = new Set(["vm-0", "vm-1"]);
        const { plan } = runStep(control, down, new Map(), 20_000);
        expect(plan.pause).toBe(PauseReason.TooManyFailedVms);
        const restored = decodeControlState(encodeControlState(control));
        expect(restored.waves.get("w")).toMatchObject({
            status: WaveStatus.Paused,
            pauseReason: PauseReason.TooManyFailedVms,
        });
        expect(countSteps(restored, VmStep.Failed)).toBe(2);
        expect(runStep(restored, down, new Map(), 21_000).committed).toEqual([]);
        const returned = new Map([["vm-0", 2], ["vm-1", 2]]);
        runStep(restored, new Set(), returned, 22_000);
        expect(countSteps(restored, VmStep.Probation)).toBe(2);
    });

    it("pauses when half of a pool is down for another reason", () => {
        const { plan } = runStep(createControl(25), new Set(["vm-4", "vm-5", "vm-6", "vm-7"]), new Map(), 0);
        expect(plan.pause).toBe(PauseReason.CorrelatedFailures);
    });

    it("commits no transition twice, and refuses an overlapping wave", () => {
        const control = createControl(25);
        const step = { vm: "vm-0", from: VmStep.Waiting, to: VmStep.Draining, incarnation: 1 };
        const command = { kind: CommandKind.StepWave as const, waveId: "w", transitions: [step], down: [], at: 0 };
        expect(applyCommand(control, command)).toHaveLength(1);
        expect(applyCommand(control, command)).toHaveLength(0);
        const other = { kind: CommandKind.StartWave as const, waveId: "x", vms: ["vm-0"], at: 0 };
        expect(applyCommand(control, other)).toEqual({ outcome: StartWaveOutcome.Overlap, winner: "w" });
        expect(applyCommand(control, { ...other, waveId: "w" }).outcome).toBe(StartWaveOutcome.Started);
    });

    it("gives up VMs that are removed from the tables, and keeps the budget of the smaller pool", () => {
        const control = createControl(25);
        const edits = ["vm-4", "vm-5", "vm-6", "vm-7"].map(name => ({ kind: ObjectKind.Vm as const, name }));
        applyCommand(control, { kind: CommandKind.ChangeTables, changeId: "shrink-1", edits });
        expect(runStep(control, new Set(), new Map(), 0).committed.filter(({ to }) => to === VmStep.Draining))
            .toHaveLength(1);
        expect(countSteps(control, VmStep.GivenUp)).toBe(4);
    });

    it("keeps the budget and reboots each VM once in random runs with failures", () => {
        const event = fc.record({
            vm: fc.nat(7),
            isFailing: fc.boolean(),
            waitMs: fc.integer({ min: 100, max: 3_000 }),
        });
        fc.assert(
            fc.property(fc.array(event, { maxLength: 120 }), fc.constantFrom(13, 25, 50), (events, percent) => {
                const control = createControl(percent);
                const budget = computeMaxUnavailable(names.length, percent);
                const down = new Set<string>();
                const incarnations = new Map(names.map(name => [name, 1]));
                let now = 0;
                for (const { vm, isFailing, waitMs } of events) {
                    const name = names[vm] ?? "";
                    if (isFailing) {
                        down.add(name);
                    }
                    else {
                        down.delete(name);
                    }
                    now += waitMs;
                    const before = new Set(down);
                    const { committed } = runStep(control, down, incarnations, now);
                    for (const { vm: moved, to } of committed) {
                        if (to === VmStep.Rebooting) {
                            incarnations.set(moved, (incarnations.get(moved) ?? 0) + 1);
                        }
                    }
                    const isDraining = committed.some(({ vm: moved, to }) =>
                        to === VmStep.Draining && !before.has(moved)
                    );
                    const unavailable = new Set([...down, ...listUnavailableVms(control)]);
                    expect(isDraining && unavailable.size > budget).toBe(false);
                }
                expect(Math.max(...incarnations.values())).toBeLessThanOrEqual(2);
            }),
            { seed: 23, numRuns: 200 },
        );
    });
});

function listUnavailableVms(control: ControlState): string[] {
    const steps = [VmStep.Draining, VmStep.Rebooting, VmStep.Failed];
    return [...control.waves.get("w")?.vms ?? []].filter(([, { step }]) => steps.includes(step)).map(([vm]) => vm);
}
