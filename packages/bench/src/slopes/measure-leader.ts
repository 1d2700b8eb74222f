import { dropUnresponsiveEntries } from "@daisylock/core/allocation/drop-unresponsive-entries.js";
import { planSlots } from "@daisylock/core/allocation/plan-slots.js";
import { planTeamGrants } from "@daisylock/core/allocation/plan-team-grants.js";
import { readAllowances } from "@daisylock/core/allocation/read-allowances.js";
import { receiveEntryReport } from "@daisylock/core/allocation/receive-entry-report.js";
import { updateCapacities } from "@daisylock/core/allocation/update-capacities.js";
import { SyncReply, SyncRequest } from "@daisylock/protocol/generated/peer.js";

import { buildLargeControlState } from "./build-large-control-state.js";
import { buildLargeLeader } from "./build-large-leader.js";
import { computeLinearFit } from "./compute-linear-fit.js";
import type { LinearFit } from "./linear-fit.js";
import { measureHeap } from "./measure-heap.js";
import { measureMedianMs } from "./measure-median-ms.js";

const fleetSizes = { pools: 30, teams: 170, keys: 340, zones: 7 };
const entryCount = 14;
const vmCounts = [1_000, 2_500, 5_100];

/**
 * Measures run time, memory and message sizes of the leader's allocation.
 * @returns a linear fit for each cost
 */
export function measureLeader(): LinearFit[] {
    const buildLeader = (vms: number) =>
        buildLargeLeader(buildLargeControlState({ ...fleetSizes, vms }), fleetSizes.zones, entryCount);
    const measureByVms = (name: string, unit: string, run: (vms: number) => number) =>
        computeLinearFit(name, unit, "VM", vmCounts, vmCounts.map(run));
    return [
        measureByVms("leader memory", "bytes", vms => measureHeap(() => buildLeader(vms))),
        measureByVms("report of an entry, received and answered", "ms", vms => {
            const { allocation, reports } = buildPlannedLeader(buildLeader(vms));
            return measureMedianMs(30, () => {
                reports.forEach(report => {
                    receiveEntryReport(allocation, report, 100);
                    readAllowances(allocation, report);
                });
            }) / reports.length;
        }),
        measureByVms("plan of all pools at once", "ms", vms => measurePlan(buildLeader(vms), fleetSizes.pools)),
        measureByVms("plan of one pool", "ms", vms => measurePlan(buildLeader(vms), 1)),
        computeLinearFit(
            "report of an entry",
            "bytes",
            "team with work",
            [5, 10, 20],
            [5, 10, 20].map(teams => {
                const [report] = buildLeader(1_000).reports;
                const rows = {
                    demands: report?.demands.slice(0, teams) ?? [],
                    teams: report?.teams.slice(0, teams) ?? [],
                };
                return SyncRequest.encode(SyncRequest.fromPartial({ ...report as object, ...rows })).finish().length;
            }),
        ),
        computeLinearFit(
            "answer to an entry",
            "bytes",
            "slot allowance",
            [0, 50, 200],
            [0, 50, 200].map(slots => {
                const allowance = {
                    vm: "vm-1000",
                    incarnation: Date.now(),
                    address: "10.0.0.1:8000",
                    state: 0,
                    allowed: 4,
                };
                const reply = {
                    session: "keeper.0a1b2c3d/12",
                    sequence: 100_000,
                    slots: new Array(slots).fill(allowance) as object[],
                };
                return SyncReply.encode(SyncReply.fromPartial(reply)).finish().length;
            }),
        ),
    ];
}

function buildPlannedLeader(large: ReturnType<typeof buildLargeLeader>): ReturnType<typeof buildLargeLeader> {
    const { allocation } = large;
    dropUnresponsiveEntries(allocation, 20);
    updateCapacities(allocation);
    planSlots(allocation, 20);
    planTeamGrants(allocation, new Map(), 20);
    return large;
}

function measurePlan(large: ReturnType<typeof buildLargeLeader>, pools: number): number {
    const { allocation } = buildPlannedLeader(large);
    return measureMedianMs(9, () => {
        for (let pool = 0; pool < pools; pool++) {
            allocation.stalePools.add(`pool-${pool}`);
        }
        planSlots(allocation, 100);
    });
}
