import type { ChangeCommand } from "@daisylock/core/control/change-command.js";
import { ChangeOutcome } from "@daisylock/core/control/change-outcome.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";
import type { OperateRequest } from "@daisylock/protocol/generated/peer.js";
import { changeSchema } from "@daisylock/protocol/operator/change-schema.js";
import { describeIssues } from "@daisylock/protocol/operator/describe-issues.js";
import * as v from "valibot";

import type { OperateContext } from "./operate-context.js";
import type { OperateResult } from "./operate-result.js";
import { parseJson } from "./parse-json.js";
import { readInForce } from "./read-in-force.js";

const statuses: Record<ChangeOutcome, number> = {
    [ChangeOutcome.Accepted]: 200,
    [ChangeOutcome.Conflict]: 409,
    [ChangeOutcome.Invalid]: 422,
    [ChangeOutcome.IdReused]: 409,
};

/**
 * Changes the tables. The answer comes once the change is committed; the same change id gets the same answer again.
 * @param context - the leader
 * @param request - the change as JSON; If-Match may carry the table revision it is based on
 * @returns the outcome and where the change is in force
 */
export async function handleChange(context: OperateContext, request: OperateRequest): Promise<OperateResult> {
    const checked = v.safeParse(changeSchema, parseJson(request.body));
    if (!checked.success) {
        return { status: 400, body: { type: "malformed", faults: describeIssues(checked.issues) } };
    }
    const ifMatch = /^"?(\d+)"?$/.exec(request.ifMatch)?.[1];
    const command: ChangeCommand = {
        kind: CommandKind.ChangeTables,
        changeId: checked.output.changeId,
        baseRevision: ifMatch === undefined ? checked.output.baseRevision : Number(ifMatch),
        edits: checked.output.edits,
    };
    const result = await context.keeper.sendCommand(command);
    if (result.isErr) {
        return { status: 503, body: { type: "not-confirmed", reason: result.error.kind, changeId: command.changeId } };
    }
    const { outcome, revision } = result.value;
    if (outcome === ChangeOutcome.Accepted) {
        context.events.record(EventKind.ChangeCommitted, { change: command.changeId, revision });
    }
    const leader = context.allocator.readLeader();
    const inForce = leader === undefined ? undefined : readInForce(leader, revision);
    return { status: statuses[outcome], body: { changeId: command.changeId, ...result.value, inForce } };
}
