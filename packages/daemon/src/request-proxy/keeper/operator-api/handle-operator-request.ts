import type { OperateReply, OperateRequest } from "@daisylock/protocol/generated/peer.js";

import type { OperatorContext } from "./operator-context.js";
import { operatorHandlers } from "./operator-handlers.js";

/**
 * Handles an operator's request at the leader.
 * @param context - components of the leader
 * @param request - the request
 * @returns the reply, or `undefined` when this keeper is not the active leader
 */
export async function handleOperatorRequest(
    context: OperatorContext,
    request: OperateRequest,
): Promise<OperateReply | undefined> {
    if (!context.keeper.isActiveLeader()) {
        return undefined;
    }
    for (const [method, pattern, handler] of operatorHandlers) {
        const match = method === request.method ? pattern.exec(request.path) : null;
        if (match !== null) {
            const { status, body } = await handler(context, request, match[1] ?? "");
            return { status, body: JSON.stringify(body) };
        }
    }
    return { status: 404, body: JSON.stringify({ type: "not-found" }) };
}
