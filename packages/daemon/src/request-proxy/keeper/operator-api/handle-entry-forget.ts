import { addLostHolder } from "@daisylock/core/allocation/add-lost-holder.js";
import { allocationTiming } from "@daisylock/core/allocation/allocation-timing.js";
import type { OperateRequest } from "@daisylock/protocol/generated/peer.js";

import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";

/**
 * Handles an operator's confirmation that an entry has stopped permanently, so that its grants of the teams' limits can
 * be given to other entries once the targets have finished its requests.
 * @param context - components of the leader
 * @param request - the request
 * @param entry - name of the entry
 * @returns the holders marked as lost, or status 409 while the entry still reports
 */
export function handleEntryForget(context: OperatorContext, request: OperateRequest, entry: string): OperatorResult {
    const allocation = context.allocator.readAllocationState();
    if (allocation === undefined) {
        return { status: 503, body: { type: "no-leader" } };
    }
    const now = context.clock.readMonotonic();
    const view = allocation.entries.get(entry);
    if (view !== undefined && now - view.lastReportAt < allocationTiming.entryUnresponsiveMs) {
        return { status: 409, body: { type: "entry-alive", heardMsAgo: Math.round(now - view.lastReportAt) } };
    }
    const holders = new Set<string>();
    for (const resource of allocation.teams.values()) {
        for (const holder of resource.grants.keys()) {
            if (holder.startsWith(`${entry}@`)) {
                holders.add(holder);
            }
        }
    }
    allocation.entries.delete(entry);
    holders.forEach(holder => addLostHolder(allocation, holder, now));
    return { status: 200, body: { lostHolders: [...holders] } };
}
