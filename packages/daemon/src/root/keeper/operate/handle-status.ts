import { TargetState } from "@daisylock/core/admission/target-state.js";
import { countGranted } from "@daisylock/core/allocation/count-granted.js";
import type { LeaderState } from "@daisylock/core/allocation/leader-state.js";

import type { OperateContext } from "./operate-context.js";
import type { OperateResult } from "./operate-result.js";
import { readInForce } from "./read-in-force.js";

/**
 * Describes the whole system as the leader sees it.
 * @param context - the leader
 * @returns keepers, entries, pools and teams
 */
export function handleStatus(context: OperateContext): OperateResult {
    const leader = context.allocator.readLeader();
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
            inForce: readInForce(leader, revision),
            entries: listEntries(leader, context.clock.readMonotonic()),
            pools: listPools(leader),
            teams: listTeams(leader),
            lostHolders: [...leader.lost.keys()],
        },
    };
}

function listEntries(leader: LeaderState, now: number): unknown[] {
    return [...leader.entries.values()].map(view => ({
        entry: view.entry,
        zone: view.zone,
        revision: view.revision,
        heardMsAgo: Math.round(now - view.heardAt),
        isLeaving: view.isLeaving,
    }));
}

function listPools(leader: LeaderState): unknown[] {
    return [...leader.tables.objects.pool.keys()].map(pool => {
        const vms = [...leader.tables.objects.vm.values()].filter(vm => vm.value.pool === pool);
        const targets = vms.flatMap(vm => leader.targets.get(vm.name) ?? []);
        const ready = targets.filter(target => target.state === TargetState.Ready);
        return {
            pool,
            vms: vms.length,
            ready: ready.length,
            slots: ready.reduce((sum, target) => sum + target.slots, 0),
            ...computeDemand(leader, view => view.poolDemand.get(pool)),
        };
    });
}

function listTeams(leader: LeaderState): unknown[] {
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

type EntryView = Parameters<Parameters<LeaderState["entries"]["forEach"]>[0]>[0];

function computeDemand(
    leader: LeaderState,
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
