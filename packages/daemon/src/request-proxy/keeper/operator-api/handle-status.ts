import { TargetAvailability } from "@daisylock/core/admission/target-availability.js";
import type { AllocationState } from "@daisylock/core/allocation/allocation-state.js";
import { countGranted } from "@daisylock/core/allocation/count-granted.js";

import { computeRevisionRollout } from "./compute-revision-rollout.js";
import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";

/**
 * Describes the state of the cluster as known to the leader.
 * @param context - components of the leader
 * @returns keepers, entries, pools and teams
 */
export function handleStatus(context: OperatorContext): OperatorResult {
    const allocation = context.allocator.readAllocationState();
    const view = context.keeper.readView();
    if (allocation === undefined || view === undefined) {
        return { status: 503, body: { type: "no-leader" } };
    }
    const { revision } = allocation.tables;
    return {
        status: 200,
        body: {
            revision,
            leader: { id: view.leader, address: view.leaderAddress, term: view.term },
            voters: Object.keys(view.members.voters).length,
            learners: Object.keys(view.members.learners).length,
            inForce: computeRevisionRollout(allocation, revision),
            entries: listEntries(allocation, context.clock.readMonotonic()),
            pools: listPools(allocation),
            teams: listTeams(allocation),
            lostHolders: [...allocation.lostHolders.keys()],
        },
    };
}

function listEntries(allocation: AllocationState, now: number): unknown[] {
    return [...allocation.entries.values()].map(view => ({
        entry: view.entry,
        zone: view.zone,
        revision: view.revision,
        heardMsAgo: Math.round(now - view.lastReportAt),
        isLeaving: view.isLeaving,
    }));
}

function listPools(allocation: AllocationState): unknown[] {
    return [...allocation.tables.objects.pool.keys()].map(pool => {
        const vms = [...allocation.tables.objects.vm.values()].filter(vm => vm.value.pool === pool);
        const targets = vms.flatMap(vm => allocation.targets.get(vm.name) ?? []);
        const ready = targets.filter(target => target.state === TargetAvailability.Ready);
        return {
            pool,
            vms: vms.length,
            ready: ready.length,
            slots: ready.reduce((sum, target) => sum + target.slots, 0),
            ...computeDemand(allocation, view => view.poolDemand.get(pool)),
        };
    });
}

function listTeams(allocation: AllocationState): unknown[] {
    return [...allocation.tables.objects.team.values()].map(({ name, value }) => {
        const resource = allocation.teams.get(name);
        return {
            team: name,
            share: value.share,
            upperLimit: value.upperLimit,
            granted: resource === undefined ? 0 : countGranted(resource),
            ...computeDemand(allocation, view => view.teamDemand.get(name)),
        };
    });
}

type EntryView = Parameters<Parameters<AllocationState["entries"]["forEach"]>[0]>[0];

function computeDemand(
    allocation: AllocationState,
    read: (view: EntryView) => { wanted: number; waiting: number } | undefined,
): { running: number; waiting: number } {
    let running = 0;
    let waiting = 0;
    for (const view of allocation.entries.values()) {
        const demand = read(view);
        running += (demand?.wanted ?? 0) - (demand?.waiting ?? 0);
        waiting += demand?.waiting ?? 0;
    }
    return { running, waiting };
}
