import { TargetAvailability } from "@daisylock/core/admission/target-availability.js";
import type { AllocationState } from "@daisylock/core/allocation/allocation-state.js";
import { countGranted } from "@daisylock/core/allocation/count-granted.js";

import { computeRevisionRollout } from "./compute-revision-rollout.js";
import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";

/**
 * Describes the whole system as the leader sees it.
 * @param context - the leader
 * @returns keepers, entries, pools and teams
 */
export function handleStatus(context: OperatorContext): OperatorResult {
    const leader = context.allocator.readAllocationState();
    const view = context.keeper.readView();
    if (leader === undefined || view === undefined) {
        return { status: 503, body: { type: "no-leader" } };
    }
    const { revision } = leader.tables;
    return {
        status: 200,
        body: {
            revision,
            leader: { id: view.leader, address: view.leaderAddress, term: view.term },
            voters: Object.keys(view.members.voters).length,
            learners: Object.keys(view.members.learners).length,
            inForce: computeRevisionRollout(leader, revision),
            entries: listEntries(leader, context.clock.readMonotonic()),
            pools: listPools(leader),
            teams: listTeams(leader),
            lostHolders: [...leader.lostHolders.keys()],
        },
    };
}

function listEntries(leader: AllocationState, now: number): unknown[] {
    return [...leader.entries.values()].map(view => ({
        entry: view.entry,
        zone: view.zone,
        revision: view.revision,
        heardMsAgo: Math.round(now - view.lastReportAt),
        isLeaving: view.isLeaving,
    }));
}

function listPools(leader: AllocationState): unknown[] {
    return [...leader.tables.objects.pool.keys()].map(pool => {
        const vms = [...leader.tables.objects.vm.values()].filter(vm => vm.value.pool === pool);
        const targets = vms.flatMap(vm => leader.targets.get(vm.name) ?? []);
        const ready = targets.filter(target => target.state === TargetAvailability.Ready);
        return {
            pool,
            vms: vms.length,
            ready: ready.length,
            slots: ready.reduce((sum, target) => sum + target.slots, 0),
            ...computeDemand(leader, view => view.poolDemand.get(pool)),
        };
    });
}

function listTeams(leader: AllocationState): unknown[] {
    return [...leader.tables.objects.team.values()].map(({ name, value }) => {
        const resource = leader.teams.get(name);
        return {
            team: name,
            share: value.share,
            upperLimit: value.upperLimit,
            granted: resource === undefined ? 0 : countGranted(resource),
            ...computeDemand(leader, view => view.teamDemand.get(name)),
        };
    });
}

type EntryView = Parameters<Parameters<AllocationState["entries"]["forEach"]>[0]>[0];

function computeDemand(
    leader: AllocationState,
    read: (view: EntryView) => { wanted: number; waiting: number } | undefined,
): { running: number; waiting: number } {
    let running = 0;
    let waiting = 0;
    for (const view of leader.entries.values()) {
        const demand = read(view);
        running += (demand?.wanted ?? 0) - (demand?.waiting ?? 0);
        waiting += demand?.waiting ?? 0;
    }
    return { running, waiting };
}
