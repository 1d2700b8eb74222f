import type { OperateReply, OperateRequest } from "@daisylock/protocol/generated/peer.js";

import type { OperateContext } from "./operate-context.js";
import { operateHandlers } from "./operate-handlers.js";

/**
 * Answers an operator's request at the leader.
 * @param context - the leader
 * @param request - the request
 * @returns the answer, or `undefined` when this keeper may not decide
 */
export async function runOperate(context: OperateContext, request: OperateRequest): Promise<OperateReply | undefined> {
    if (!context.keeper.isDeciding()) {
        return undefined;
    }
    for (const [method, pattern, handler] of operateHandlers) {
        const match = method === request.method ? pattern.exec(request.path) : null;
        if (match !== null) {
            const { status, body } = await handler(context, request, match[1] ?? "");
            return { status, body: JSON.stringify(body) };
        }
    }
    return { status: 404, body: JSON.stringify({ type: "not-found" }) };
}
