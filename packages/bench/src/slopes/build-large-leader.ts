import { TargetAvailability } from "@daisylock/core/admission/target-availability.js";
import type { AllocationState } from "@daisylock/core/allocation/allocation-state.js";
import { createAllocationState } from "@daisylock/core/allocation/create-allocation-state.js";
import type { EntryReport } from "@daisylock/core/allocation/entry-report.js";
import { receiveEntryReport } from "@daisylock/core/allocation/receive-entry-report.js";
import type { ControlState } from "@daisylock/core/control/control-state.js";

/** A leader with the reports of its entries. */
interface LargeLeader {
    readonly leader: AllocationState;
    /** What each entry reports in an ordinary round. */
    readonly reports: readonly EntryReport[];
}

const teamsPerReport = 20;

/**
 * Builds a leader that has heard all its entries.
 * @param control - the replicated state
 * @param zones - number of zones
 * @param entries - number of entries, spread over the zones
 * @returns the leader and the entries' next reports
 */
export function buildLargeLeader(control: ControlState, zones: number, entries: number): LargeLeader {
    const leader = createAllocationState("bench/1", control.tables, control.grants, 0);
    const reports: EntryReport[] = [];
    for (let number = 0; number < entries; number++) {
        const zone = `zone-${number % zones}`;
        const full = buildReport(control, number, zone, true);
        receiveEntryReport(leader, full, 10);
        reports.push({ ...buildReport(control, number, zone, false), reportNumber: 2 });
    }
    return { leader, reports };
}

function buildReport(control: ControlState, number: number, zone: string, isFull: boolean): EntryReport {
    const { vm, team } = control.tables.objects;
    const local = isFull ? [...vm.values()].filter(record => record.value.zone === zone) : [];
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
        targets: local.map(({ name }) => ({
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
