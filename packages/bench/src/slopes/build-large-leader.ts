import { TargetAvailability } from "@daisylock/core/admission/target-availability.js";
import type { AllocationState } from "@daisylock/core/allocation/allocation-state.js";
import { createAllocationState } from "@daisylock/core/allocation/create-allocation-state.js";
import type { EntryReport } from "@daisylock/core/allocation/entry-report.js";
import { receiveEntryReport } from "@daisylock/core/allocation/receive-entry-report.js";
import type { ControlState } from "@daisylock/core/control/control-state.js";

/** Allocation state of a leader, and the next report of each entry. */
interface LargeLeader {
    readonly allocation: AllocationState;
    /** Incremental report of each entry, in which no target has changed. */
    readonly reports: readonly EntryReport[];
}

const teamsPerReport = 20;

/**
 * Builds the allocation state of a leader that has received a full report from every entry.
 * @param control - the replicated state
 * @param zones - number of availability zones
 * @param entries - number of entries, spread over the zones
 * @returns the allocation state and the next report of each entry
 */
export function buildLargeLeader(control: ControlState, zones: number, entries: number): LargeLeader {
    const allocation = createAllocationState("bench/1", control.tables, control.grants, 0);
    const reports: EntryReport[] = [];
    for (let number = 0; number < entries; number++) {
        const zone = `zone-${number % zones}`;
        const fullReport = buildReport(control, number, zone, true);
        receiveEntryReport(allocation, fullReport, 10);
        reports.push({ ...buildReport(control, number, zone, false), reportNumber: 2 });
    }
    return { allocation, reports };
}

function buildReport(control: ControlState, number: number, zone: string, isFull: boolean): EntryReport {
    const { vm, team } = control.tables.objects;
    const zoneVms = isFull ? [...vm.values()].filter(record => record.value.zone === zone) : [];
    const teams = [...team.keys()].slice(0, teamsPerReport);
    return {
        entry: `entry-${number}`,
        incarnation: "1",
        zone,
        revision: control.tables.revision,
        seenSequence: Number.MAX_SAFE_INTEGER,
        isFull,
        isLeaving: false,
        reportNumber: 1,
        targets: zoneVms.map(({ name }) => ({
            vm: name,
            incarnation: 1,
            address: "10.0.0.1:8000",
            state: TargetAvailability.Ready,
            slots: 8,
        })),
        demands: teams.map((name, position) => (
            {
                pool: `pool-${position % control.tables.objects.pool.size}`,
                team: name,
                running: 5,
                waiting: 1,
                usedMs: 100,
            }
        )),
        teams: teams.map(name => ({ team: name, inUse: 5 })),
        slots: [],
        residues: [],
        residueAgeMs: 0,
        residueTargets: [],
    };
}
