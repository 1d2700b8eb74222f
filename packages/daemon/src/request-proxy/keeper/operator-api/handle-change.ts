import { ChangeOutcome } from "@daisylock/core/control/change-outcome.js";
import type { ChangeTablesCommand } from "@daisylock/core/control/change-tables-command.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";
import type { OperateRequest } from "@daisylock/protocol/generated/peer.js";
import { changeSchema } from "@daisylock/protocol/operator/change-schema.js";
import { describeIssues } from "@daisylock/protocol/operator/describe-issues.js";
import * as v from "valibot";

import { computeRevisionRollout } from "./compute-revision-rollout.js";
import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";
import { parseJson } from "./parse-json.js";

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
export async function handleChange(context: OperatorContext, request: OperateRequest): Promise<OperatorResult> {
    const checked = v.safeParse(changeSchema, parseJson(request.body));
    if (!checked.success) {
        return { status: 400, body: { type: "malformed", faults: describeIssues(checked.issues) } };
    }
    const ifMatch = /^"?(\d+)"?$/.exec(request.ifMatch)?.[1];
    const command: ChangeTablesCommand = {
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
    const leader = context.allocator.readAllocationState();
    const inForce = leader === undefined ? undefined : computeRevisionRollout(leader, revision);
    return { status: statuses[outcome], body: { changeId: command.changeId, ...result.value, inForce } };
}
