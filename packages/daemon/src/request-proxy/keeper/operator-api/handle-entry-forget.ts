import { addLostHolder } from "@daisylock/core/allocation/add-lost-holder.js";
import { allocationTiming } from "@daisylock/core/allocation/allocation-timing.js";
import type { OperateRequest } from "@daisylock/protocol/generated/peer.js";

import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";

/**
 * Takes an operator's word that an entry has stopped for good, so that its parts of the teams' limits can be given to
 * others once the targets have finished its requests.
 * @param context - the leader
 * @param request - the request
 * @param entry - name of the entry
 * @returns the holders given up; refused while the entry is heard
 */
export function handleEntryForget(context: OperatorContext, request: OperateRequest, entry: string): OperatorResult {
    const leader = context.allocator.readAllocationState();
    if (leader === undefined) {
        return { status: 503, body: { type: "no-leader" } };
    }
    const now = context.clock.readMonotonic();
    const view = leader.entries.get(entry);
    if (view !== undefined && now - view.lastReportAt < allocationTiming.entryUnresponsiveMs) {
        return { status: 409, body: { type: "entry-alive", heardMsAgo: Math.round(now - view.lastReportAt) } };
    }
    const holders = new Set<string>();
    for (const resource of leader.teams.values()) {
        for (const holder of resource.grants.keys()) {
            if (holder.startsWith(`${entry}@`)) {
                holders.add(holder);
            }
        }
    }
    leader.entries.delete(entry);
    holders.forEach(holder => addLostHolder(leader, holder, now));
    return { status: 200, body: { lostHolders: [...holders] } };
}
