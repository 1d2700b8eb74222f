import type { OperateRequest } from "@daisylock/protocol/generated/peer.js";

import type { OperateContext } from "./operate-context.js";
import type { OperateResult } from "./operate-result.js";
import { readInForce } from "./read-in-force.js";

/**
 * Looks up what became of a change and where it is in force.
 * @param context - the leader
 * @param request - the request
 * @param changeId - id of the change
 * @returns the outcome
 */
export function handleChangeLookup(context: OperateContext, request: OperateRequest, changeId: string): OperateResult {
    const record = context.keeper.readControl().changes.get(changeId);
    const leader = context.allocator.readLeader();
    if (record === undefined || leader === undefined) {
        return { status: 404, body: { type: "not-found", changeId } };
    }
    const { result } = record;
    return { status: 200, body: { changeId, ...result, inForce: readInForce(leader, result.revision) } };
}
