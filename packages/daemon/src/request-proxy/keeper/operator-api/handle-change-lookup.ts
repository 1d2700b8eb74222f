import type { OperateRequest } from "@daisylock/protocol/generated/peer.js";

import { computeRevisionRollout } from "./compute-revision-rollout.js";
import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";

/**
 * Looks up what became of a change and where it is in force.
 * @param context - the leader
 * @param request - the request
 * @param changeId - id of the change
 * @returns the outcome
 */
export function handleChangeLookup(
    context: OperatorContext,
    request: OperateRequest,
    changeId: string,
): OperatorResult {
    const record = context.keeper.readControl().changes.get(changeId);
    const leader = context.allocator.readAllocationState();
    if (record === undefined || leader === undefined) {
        return { status: 404, body: { type: "not-found", changeId } };
    }
    const { result } = record;
    return { status: 200, body: { changeId, ...result, inForce: computeRevisionRollout(leader, result.revision) } };
}
