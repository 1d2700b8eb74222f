import type { OperateRequest } from "@daisylock/protocol/generated/peer.js";

import { computeRevisionRollout } from "./compute-revision-rollout.js";
import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";

/**
 * Looks up the outcome of a change and where its revision is applied.
 * @param context - components of the leader
 * @param request - the request
 * @param changeId - id of the change
 * @returns the outcome, or status 404 for an unknown change
 */
export function handleChangeLookup(
    context: OperatorContext,
    request: OperateRequest,
    changeId: string,
): OperatorResult {
    const record = context.keeper.readControl().changes.get(changeId);
    const allocation = context.allocator.readAllocationState();
    if (record === undefined || allocation === undefined) {
        return { status: 404, body: { type: "not-found", changeId } };
    }
    const { result } = record;
    return { status: 200, body: { changeId, ...result, inForce: computeRevisionRollout(allocation, result.revision) } };
}
