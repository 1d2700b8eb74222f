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
 * Changes the tables. Responds once the change is committed; a repeated change id gets the outcome of the first request.
 * @param context - components of the leader
 * @param request - the change as JSON; `If-Match` may give the table revision that it is based on
 * @returns the outcome and where the resulting revision is applied
 */
export async function handleChange(context: OperatorContext, request: OperateRequest): Promise<OperatorResult> {
    const parsed = v.safeParse(changeSchema, parseJson(request.body));
    if (!parsed.success) {
        return { status: 400, body: { type: "malformed", faults: describeIssues(parsed.issues) } };
    }
    const ifMatch = /^"?(\d+)"?$/.exec(request.ifMatch)?.[1];
    const command: ChangeTablesCommand = {
        kind: CommandKind.ChangeTables,
        changeId: parsed.output.changeId,
        baseRevision: ifMatch === undefined ? parsed.output.baseRevision : Number(ifMatch),
        edits: parsed.output.edits,
    };
    const result = await context.keeper.sendCommand(command);
    if (result.isErr) {
        return { status: 503, body: { type: "not-confirmed", reason: result.error.kind, changeId: command.changeId } };
    }
    const { outcome, revision } = result.value;
    if (outcome === ChangeOutcome.Accepted) {
        context.events.record(EventKind.ChangeCommitted, { change: command.changeId, revision });
    }
    const allocation = context.allocator.readAllocationState();
    const inForce = allocation === undefined ? undefined : computeRevisionRollout(allocation, revision);
    return { status: statuses[outcome], body: { changeId: command.changeId, ...result.value, inForce } };
}
