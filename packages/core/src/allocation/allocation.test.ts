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

/** An entry as the leader sees it: applies allowances, uses what it may, and reports. */
class FakeEntry {
    allowedTeam = 0;
    inUse = 0;
    readonly slots = new Map<string, number>();
    private seen = 0;
    private number = 0;
    private isFull = true;

    constructor(readonly name: string, readonly zone: string, readonly incarnation: string) {}

    sync(leader: AllocationState, waiting: number, now: number): void {
        const report = this.buildReport(waiting);
        receiveEntryReport(leader, report, now);
        const reply = readAllowances(leader, report);
        reply.teams.forEach(row => this.allowedTeam = row.allowed);
        reply.slots.forEach(row => this.slots.set(row.vm, row.allowed));
        this.seen = reply.sequence;
        this.isFull = false;
    }

    buildReport(waiting: number): EntryReport {
        this.number += 1;
        return {
            entry: this.name,
            incarnation: this.incarnation,
            zone: this.zone,
            revision: 1,
            seenSequence: this.seen,
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

function runPlans(leader: AllocationState, control: ControlState, now: number): void {
    dropUnresponsiveEntries(leader, now);
    updateCapacities(leader);
    planSlots(leader, now);
    const grants = planTeamGrants(leader, control.grants, now);
    applyTeamGrants(leader, applyCommand(control, { kind: CommandKind.SetGrants, grants }));
}

describe("allocation", () => {
    describe("of a capacity", () => {
        it("gives out everything, max-min fair by demand", () => {
            const split = computeFairSplit(10, [{ holder: "x", wanted: 1 }, { holder: "y", wanted: 9 }, {
                holder: "z",
                wanted: 9,
            }]);
            expect([...split.values()].sort((a, b) => a - b)).toEqual([1, 4, 5]);
            fc.assert(
                fc.property(fc.nat(500), fc.array(fc.nat(100), { minLength: 1, maxLength: 16 }), (capacity, wants) => {
                    const demands = wants.map((wanted, position) => ({ holder: `h${position}`, wanted }));
                    const result = [...computeFairSplit(capacity, demands).values()];
                    expect(result.reduce((sum, units) => sum + units, 0)).toBe(capacity);
                }),
                { seed: 3 },
            );
        });
    });

    describe("of a pool's slots", () => {
        it("gives each entry those of its own zone first", () => {
            const supplies = ["a", "b"].map(zone => ({ vm: `vm-${zone}`, zone, slots: 8 }));
            const claims = ["a", "b"].map(zone => ({
                holder: zone,
                zone,
                wanted: 5,
                current: new Map<string, number>(),
            }));
            const plan = planPoolSlots(supplies, claims);
            expect([...plan.get("vm-a") ?? []]).toEqual([["a", 8]]);
            expect([...plan.get("vm-b") ?? []]).toEqual([["b", 8]]);
        });
    });

    describe("with entries that come, fall silent and start again", () => {
        it("lends each team's whole limit, and not more, and moves it to where the demand is", () => {
            const control = createControl();
            const leader = createAllocationState("l/1", control.tables, control.grants, 0);
            const entries = ["a", "b", "c"].map(zone => new FakeEntry(`e${zone}`, zone, "1"));
            for (let now = 0; now < 2_000; now += 100) {
                entries.forEach((entry, position) => entry.sync(leader, position === 0 ? 50 : 0, now));
                runPlans(leader, control, now);
            }
            entries.forEach(entry => entry.sync(leader, 0, 2_000));
            expect(entries[0]?.allowedTeam).toBe(upperLimit);
            expect([...entries[0]?.slots.values() ?? []].reduce((sum, units) => sum + units, 0)).toBe(3 * slots);
        });

        it("keeps the part of an entry that fell silent, until it starts again and its targets deny what it ran", () => {
            const control = createControl();
            const leader = createAllocationState("l/1", control.tables, control.grants, 0);
            const [first, second] = ["a", "b"].map(zone => new FakeEntry(`e${zone}`, zone, "1")) as [
                FakeEntry,
                FakeEntry,
            ];
            for (let now = 0; now < 1_000; now += 100) {
                [first, second].forEach(entry => entry.sync(leader, 9, now));
                runPlans(leader, control, now);
            }
            const kept = first.allowedTeam;
            expect(kept).toBeGreaterThan(0);
            for (let now = 1_000; now < 60_000; now += 500) {
                second.sync(leader, 50, now);
                runPlans(leader, control, now);
            }
            expect(second.allowedTeam).toBe(upperLimit - kept);

            const again = new FakeEntry("ea", "a", "2");
            again.sync(leader, 0, 60_000);
            expect([...leader.lostHolders.keys()]).toEqual(["ea@1"]);
            for (let now = 60_000; now < 70_000; now += 500) {
                const residue = { holder: "ea@1", team: "spas", running: 2 };
                const report = { ...again.buildReport(0), residues: [residue], residueTargets: ["vm-a"] };
                receiveEntryReport(leader, report, now);
                receiveEntryReport(leader, { ...second.buildReport(50), residueTargets: ["vm-b"] }, now);
                runPlans(leader, control, now);
            }
            const sum = [...control.grants.get("spas")?.values() ?? []].reduce((total, units) => total + units, 0);
            expect(control.grants.get("spas")?.get("ea@1")).toBe(2);
            expect(sum).toBeLessThanOrEqual(upperLimit);
        });

        it("raises nobody above a limit that was lowered while the raise was being committed", () => {
            const control = createControl();
            const leader = createAllocationState("l/1", control.tables, control.grants, 0);
            const entries = ["a", "b", "c"].map(zone => new FakeEntry(`e${zone}`, zone, "1"));
            const [first, second] = entries as [FakeEntry, FakeEntry];
            const syncAll = (now: number) =>
                entries.forEach((entry, position) => entry.sync(leader, 9 * position, now));
            for (let now = 0; now < 1_000; now += 100) {
                syncAll(now);
                runPlans(leader, control, now);
            }
            second.inUse = second.allowedTeam;
            setLimit(control, 2);
            first.sync(leader, 9, 1_000);
            updateCapacities(leader);
            planTeamGrants(leader, control.grants, 1_000);
            leader.staleTeams.add("spas");
            const grants = [{ team: "spas", holder: "ea@1", granted: 2 }];
            first.sync(leader, 9, 1_050);
            first.sync(leader, 9, 1_100);
            applyTeamGrants(leader, applyCommand(control, { kind: CommandKind.SetGrants, grants }));
            first.sync(leader, 9, 1_150);
            expect(first.allowedTeam + second.inUse).toBeLessThanOrEqual(Math.max(2, second.inUse));
        });

        it("does not lift an allowance that was lowered when the lower grant is committed", () => {
            const control = createControl();
            const leader = createAllocationState("l/1", control.tables, control.grants, 0);
            const [first, second] = ["a", "b"].map(zone => new FakeEntry(`e${zone}`, zone, "1")) as [
                FakeEntry,
                FakeEntry,
            ];
            for (let now = 0; now < 500; now += 100) {
                first.sync(leader, 9, now);
                runPlans(leader, control, now);
            }
            first.inUse = upperLimit - 1;
            second.sync(leader, 9, 500);
            runPlans(leader, control, 500);
            first.sync(leader, 0, 600);
            const lowered = first.allowedTeam;
            expect(lowered).toBeLessThan(first.inUse);
            for (let now = 700; now < 1_200; now += 100) {
                first.sync(leader, 9, now);
                second.sync(leader, 9, now);
                runPlans(leader, control, now);
                expect(leader.teams.get("spas")?.grants.get("ea@1")?.allowed).toBeLessThanOrEqual(lowered);
            }
        });

        it("never lets entries use more than limit and slots together, whatever the order of events", () => {
            const step = fc.record({ entry: fc.nat(2), action: fc.nat(6), value: fc.nat(12) });
            fc.assert(
                fc.property(fc.array(step, { maxLength: 150 }), steps => {
                    const control = createControl();
                    let leader = createAllocationState("l/1", control.tables, control.grants, 0);
                    const entries = ["a", "b", "c"].map(zone => new FakeEntry(`e${zone}`, zone, "1"));
                    let highest = upperLimit;
                    const used = () => entries.reduce((sum, other) => sum + other.inUse, 0);
                    steps.forEach(({ entry: position, action, value }, number) => {
                        const now = number * 150;
                        const entry = entries[position] as FakeEntry;
                        if (action <= 2) {
                            entry.sync(leader, value, now);
                        }
                        else if (action === 3) {
                            entry.inUse = Math.max(entry.inUse, Math.min(entry.allowedTeam, value));
                        }
                        else if (action === 4) {
                            entry.inUse = Math.min(entry.inUse, value);
                        }
                        else if (action === 6) {
                            // Reports arrive while grants are being committed, and operators change limits.
                            setLimit(control, Math.max(used(), value));
                            updateCapacities(leader);
                            const grants = planTeamGrants(leader, control.grants, now);
                            entries.forEach(other => other.sync(leader, value, now));
                            applyTeamGrants(leader, applyCommand(control, { kind: CommandKind.SetGrants, grants }));
                        }
                        else if (action === 5) {
                            leader = createAllocationState(`l/${number}`, control.tables, control.grants, now);
                            entries.forEach((other, index) => entries[index] = createSession(other));
                        }
                        runPlans(leader, control, now);
                        // Entries that have not heard of a lowered limit yet still use what was granted before.
                        const granted = countGrants(control);
                        expect(used()).toBeLessThanOrEqual(granted);
                        highest = Math.max(highest, control.tables.objects.team.get("spas")?.value.upperLimit ?? 0);
                        expect(granted).toBeLessThanOrEqual(highest);
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

/** An entry that meets a new leader reports everything again and keeps what it uses. */
function createSession(entry: FakeEntry): FakeEntry {
    const same = new FakeEntry(entry.name, entry.zone, entry.incarnation);
    same.allowedTeam = entry.allowedTeam;
    same.inUse = entry.inUse;
    entry.slots.forEach((units, vm) => same.slots.set(vm, units));
    return same;
}
