import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import { TargetAvailability } from "../admission/target-availability.js";
import { applyCommand } from "../control/apply-command.js";
import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { createControlState } from "../control/create-control-state.js";
import { IsolationPolicy } from "../tables/isolation-policy.js";
import { ObjectKind } from "../tables/object-kind.js";
import type { TableEdit } from "../tables/table-edit.js";
import type { AllocationState } from "./allocation-state.js";
import { applyTeamGrants } from "./apply-team-grants.js";
import { computeFairSplit } from "./compute-fair-split.js";
import { createAllocationState } from "./create-allocation-state.js";
import { dropUnresponsiveEntries } from "./drop-unresponsive-entries.js";
import type { EntryReport } from "./entry-report.js";
import { planPoolSlots } from "./plan-pool-slots.js";
import { planSlots } from "./plan-slots.js";
import { planTeamGrants } from "./plan-team-grants.js";
import { readAllowances } from "./read-allowances.js";
import { receiveEntryReport } from "./receive-entry-report.js";
import { updateCapacities } from "./update-capacities.js";

const upperLimit = 10;
const slots = 8;

function createControl(): ControlState {
    const control = createControlState();
    const edits: TableEdit[] = [
        {
            kind: ObjectKind.Team,
            name: "spas",
            value: { share: 1, upperLimit, isolatedService: IsolationPolicy.Refuse },
        },
        { kind: ObjectKind.Pool, name: "front", value: { maxUnavailablePercent: 25, spare: false } },
        ...["a", "b", "c"].map(zone => (
            { kind: ObjectKind.Vm as const, name: `vm-${zone}`, value: { pool: "front", zone, rack: "r" } }
        )),
    ];
    applyCommand(control, { kind: CommandKind.ChangeTables, changeId: "tables-0", edits });
    return control;
}

/** A fake entry that reports to the leader and applies the allowances in the reply. */
class FakeEntry {
    allowedTeam = 0;
    inUse = 0;
    readonly slots = new Map<string, number>();
    private seenSequence = 0;
    private number = 0;
    private isFull = true;

    constructor(readonly name: string, readonly zone: string, readonly incarnation: string) {}

    sync(state: AllocationState, waiting: number, now: number): void {
        const report = this.buildReport(waiting);
        receiveEntryReport(state, report, now);
        const reply = readAllowances(state, report);
        reply.teams.forEach(row => this.allowedTeam = row.allowed);
        reply.slots.forEach(row => this.slots.set(row.vm, row.allowed));
        this.seenSequence = reply.sequence;
        this.isFull = false;
    }

    buildReport(waiting: number): EntryReport {
        this.number += 1;
        return {
            entry: this.name,
            incarnation: this.incarnation,
            zone: this.zone,
            revision: 1,
            seenSequence: this.seenSequence,
            isFull: this.isFull,
            isLeaving: false,
            reportNumber: this.number,
            targets: this.isFull
                ? [{
                    vm: `vm-${this.zone}`,
                    incarnation: 1,
                    address: "10.0.0.1:1",
                    state: TargetAvailability.Ready,
                    slots,
                }]
                : [],
            demands: [{ pool: "front", team: "spas", running: this.inUse, waiting, usedMs: 0 }],
            teams: [{ team: "spas", inUse: this.inUse }],
            slots: [],
            residues: [],
            residueAgeMs: 0,
            residueTargets: [],
        };
    }
}

function runPlans(state: AllocationState, control: ControlState, now: number): void {
    dropUnresponsiveEntries(state, now);
    updateCapacities(state);
    planSlots(state, now);
    const grants = planTeamGrants(state, control.grants, now);
    applyTeamGrants(state, applyCommand(control, { kind: CommandKind.SetGrants, grants }));
}

describe("allocation", () => {
    describe("of a capacity", () => {
        it("splits the whole capacity, max-min fair by demand", () => {
            const split = computeFairSplit(10, [{ holder: "x", wanted: 1 }, { holder: "y", wanted: 9 }, {
                holder: "z",
                wanted: 9,
            }]);
            expect([...split.values()].sort((a, b) => a - b)).toEqual([1, 4, 5]);
            fc.assert(
                fc.property(
                    fc.nat(500),
                    fc.array(fc.nat(100), { minLength: 1, maxLength: 16 }),
                    (capacity, wantedUnits) => {
                        const demands = wantedUnits.map((wanted, position) => ({ holder: `h${position}`, wanted }));
                        const result = [...computeFairSplit(capacity, demands).values()];
                        expect(result.reduce((sum, units) => sum + units, 0)).toBe(capacity);
                    },
                ),
                { seed: 3 },
            );
        });
    });

    describe("of a pool's slots", () => {
        it("assigns each entry the slots of its own availability zone first", () => {
            const supplies = ["a", "b"].map(zone => ({ vm: `vm-${zone}`, zone, slots: 8 }));
            const demands = ["a", "b"].map(zone => ({
                holder: zone,
                zone,
                wanted: 5,
                current: new Map<string, number>(),
            }));
            const plan = planPoolSlots(supplies, demands);
            expect([...plan.get("vm-a") ?? []]).toEqual([["a", 8]]);
            expect([...plan.get("vm-b") ?? []]).toEqual([["b", 8]]);
        });
    });

    describe("with entries that join, become unresponsive and restart", () => {
        it("grants a team's whole limit and all slots to the only entry with demand", () => {
            const control = createControl();
            const state = createAllocationState("l/1", control.tables, control.grants, 0);
            const entries = ["a", "b", "c"].map(zone => new FakeEntry(`e${zone}`, zone, "1"));
            for (let now = 0; now < 2_000; now += 100) {
                entries.forEach((entry, position) => entry.sync(state, position === 0 ? 50 : 0, now));
                runPlans(state, control, now);
            }
            entries.forEach(entry => entry.sync(state, 0, 2_000));
            expect(entries[0]?.allowedTeam).toBe(upperLimit);
            expect([...entries[0]?.slots.values() ?? []].reduce((sum, units) => sum + units, 0)).toBe(3 * slots);
        });

        it("keeps an unresponsive entry's grant until it restarts and the targets report what they run for it", () => {
            const control = createControl();
            const state = createAllocationState("l/1", control.tables, control.grants, 0);
            const [first, second] = ["a", "b"].map(zone => new FakeEntry(`e${zone}`, zone, "1")) as [
                FakeEntry,
                FakeEntry,
            ];
            for (let now = 0; now < 1_000; now += 100) {
                [first, second].forEach(entry => entry.sync(state, 9, now));
                runPlans(state, control, now);
            }
            const keptUnits = first.allowedTeam;
            expect(keptUnits).toBeGreaterThan(0);
            for (let now = 1_000; now < 60_000; now += 500) {
                second.sync(state, 50, now);
                runPlans(state, control, now);
            }
            expect(second.allowedTeam).toBe(upperLimit - keptUnits);

            const restarted = new FakeEntry("ea", "a", "2");
            restarted.sync(state, 0, 60_000);
            expect([...state.lostHolders.keys()]).toEqual(["ea@1"]);
            for (let now = 60_000; now < 70_000; now += 500) {
                const residue = { holder: "ea@1", team: "spas", running: 2 };
                const report = { ...restarted.buildReport(0), residues: [residue], residueTargets: ["vm-a"] };
                receiveEntryReport(state, report, now);
                receiveEntryReport(state, { ...second.buildReport(50), residueTargets: ["vm-b"] }, now);
                runPlans(state, control, now);
            }
            const sum = [...control.grants.get("spas")?.values() ?? []].reduce((total, units) => total + units, 0);
            expect(control.grants.get("spas")?.get("ea@1")).toBe(2);
            expect(sum).toBeLessThanOrEqual(upperLimit);
        });

        it("grants no increase beyond a limit that was decreased while the increase was being committed", () => {
            const control = createControl();
            const state = createAllocationState("l/1", control.tables, control.grants, 0);
            const entries = ["a", "b", "c"].map(zone => new FakeEntry(`e${zone}`, zone, "1"));
            const [first, second] = entries as [FakeEntry, FakeEntry];
            const syncAll = (now: number) => entries.forEach((entry, position) => entry.sync(state, 9 * position, now));
            for (let now = 0; now < 1_000; now += 100) {
                syncAll(now);
                runPlans(state, control, now);
            }
            second.inUse = second.allowedTeam;
            setLimit(control, 2);
            first.sync(state, 9, 1_000);
            updateCapacities(state);
            planTeamGrants(state, control.grants, 1_000);
            state.staleTeams.add("spas");
            const grants = [{ team: "spas", holder: "ea@1", granted: 2 }];
            first.sync(state, 9, 1_050);
            first.sync(state, 9, 1_100);
            applyTeamGrants(state, applyCommand(control, { kind: CommandKind.SetGrants, grants }));
            first.sync(state, 9, 1_150);
            expect(first.allowedTeam + second.inUse).toBeLessThanOrEqual(Math.max(2, second.inUse));
        });

        it("does not increase a decreased allowance when the smaller grant is committed", () => {
            const control = createControl();
            const state = createAllocationState("l/1", control.tables, control.grants, 0);
            const [first, second] = ["a", "b"].map(zone => new FakeEntry(`e${zone}`, zone, "1")) as [
                FakeEntry,
                FakeEntry,
            ];
            for (let now = 0; now < 500; now += 100) {
                first.sync(state, 9, now);
                runPlans(state, control, now);
            }
            first.inUse = upperLimit - 1;
            second.sync(state, 9, 500);
            runPlans(state, control, 500);
            first.sync(state, 0, 600);
            const decreased = first.allowedTeam;
            expect(decreased).toBeLessThan(first.inUse);
            for (let now = 700; now < 1_200; now += 100) {
                first.sync(state, 9, now);
                second.sync(state, 9, now);
                runPlans(state, control, now);
                expect(state.teams.get("spas")?.grants.get("ea@1")?.allowed).toBeLessThanOrEqual(decreased);
            }
        });

        it("lets entries use no more than granted, and grants no more than the limit, in any order of events", () => {
            const step = fc.record({ entry: fc.nat(2), action: fc.nat(6), value: fc.nat(12) });
            fc.assert(
                fc.property(fc.array(step, { maxLength: 150 }), steps => {
                    const control = createControl();
                    let state = createAllocationState("l/1", control.tables, control.grants, 0);
                    const entries = ["a", "b", "c"].map(zone => new FakeEntry(`e${zone}`, zone, "1"));
                    let highestLimit = upperLimit;
                    const used = () => entries.reduce((sum, other) => sum + other.inUse, 0);
                    steps.forEach(({ entry: position, action, value }, number) => {
                        const now = number * 150;
                        const entry = entries[position] as FakeEntry;
                        if (action <= 2) {
                            entry.sync(state, value, now);
                        }
                        else if (action === 3) {
                            entry.inUse = Math.max(entry.inUse, Math.min(entry.allowedTeam, value));
                        }
                        else if (action === 4) {
                            entry.inUse = Math.min(entry.inUse, value);
                        }
                        else if (action === 6) {
                            // An operator changes a limit, and reports arrive while grants are being committed.
                            setLimit(control, Math.max(used(), value));
                            updateCapacities(state);
                            const grants = planTeamGrants(state, control.grants, now);
                            entries.forEach(other => other.sync(state, value, now));
                            applyTeamGrants(state, applyCommand(control, { kind: CommandKind.SetGrants, grants }));
                        }
                        else if (action === 5) {
                            state = createAllocationState(`l/${number}`, control.tables, control.grants, now);
                            entries.forEach((other, index) => entries[index] = createReconnectedEntry(other));
                        }
                        runPlans(state, control, now);
                        // Entries that have not received a decreased limit yet still use their earlier grants.
                        const granted = countGrants(control);
                        expect(used()).toBeLessThanOrEqual(granted);
                        highestLimit = Math.max(
                            highestLimit,
                            control.tables.objects.team.get("spas")?.value.upperLimit ?? 0,
                        );
                        expect(granted).toBeLessThanOrEqual(highestLimit);
                    });
                }),
                { seed: 17, numRuns: 300 },
            );
        });
    });
});

function countGrants(control: ControlState): number {
    return [...control.grants.get("spas")?.values() ?? []].reduce((total, units) => total + units, 0);
}

function setLimit(control: ControlState, limit: number): void {
    const value = { share: 1, upperLimit: limit, isolatedService: IsolationPolicy.Refuse };
    const edits: TableEdit[] = [{ kind: ObjectKind.Team, name: "spas", value }];
    const changeId = `limit-${control.tables.revision}`;
    applyCommand(control, { kind: CommandKind.ChangeTables, changeId, edits });
}

/** Copies an entry for a new leader: it sends a full report again and keeps its allowances and its use. */
function createReconnectedEntry(entry: FakeEntry): FakeEntry {
    const copy = new FakeEntry(entry.name, entry.zone, entry.incarnation);
    copy.allowedTeam = entry.allowedTeam;
    copy.inUse = entry.inUse;
    entry.slots.forEach((units, vm) => copy.slots.set(vm, units));
    return copy;
}
