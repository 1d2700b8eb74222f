import type { Members } from "@daisylock/core/raft/members.js";
import type { OperateRequest } from "@daisylock/protocol/generated/peer.js";
import { describeIssues } from "@daisylock/protocol/operator/describe-issues.js";
import { KeeperAction } from "@daisylock/protocol/operator/keeper-action.js";
import { keeperRequestSchema } from "@daisylock/protocol/operator/keeper-request-schema.js";
import * as v from "valibot";

import { ProposeFailureKind } from "../propose-failure-kind.js";
import { handleKeeperList } from "./handle-keeper-list.js";
import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";
import { parseJson } from "./parse-json.js";

const describeTimeoutMs = 2_000;

/**
 * Adds a keeper as a learner, which becomes a voter once it has caught up, or removes a keeper.
 * @param context - components of the leader
 * @param request - the action, with the address of the keeper to add or the id of the one to remove
 * @returns the keepers after the change
 */
export async function handleKeeperChange(context: OperatorContext, request: OperateRequest): Promise<OperatorResult> {
    const parsed = v.safeParse(keeperRequestSchema, parseJson(request.body));
    if (!parsed.success) {
        return { status: 400, body: { type: "malformed", faults: describeIssues(parsed.issues) } };
    }
    const { action, address, id } = parsed.output;
    const view = context.keeper.readView();
    if (view === undefined) {
        return { status: 503, body: { type: "no-leader" } };
    }
    if (action === KeeperAction.Remove && id !== undefined) {
        return setMembers(context, dropMember(view.members, id));
    }
    if (action === KeeperAction.Add && address !== undefined) {
        return addLearner(context, view.members, address);
    }
    return { status: 400, body: { type: "malformed", faults: ["add needs an address, remove needs an id"] } };
}

async function addLearner(context: OperatorContext, members: Members, address: string): Promise<OperatorResult> {
    const request = { method: "GET", path: "/v1/process", body: "", ifMatch: "", changeId: "", hops: 0 };
    const reply = await context.clients.send(address, "operate", request, describeTimeoutMs);
    const keeper = reply.isOk ? (parseJson(reply.value.body) as { keeper?: string }).keeper : undefined;
    if (keeper === undefined) {
        return { status: 502, body: { type: "keeper-unreachable", address } };
    }
    if (Object.hasOwn(members.voters, keeper) || Object.hasOwn(members.learners, keeper)) {
        return handleKeeperList(context);
    }
    return setMembers(context, { ...members, learners: { ...members.learners, [keeper]: address } });
}

function dropMember(members: Members, id: string): Members {
    const { [id]: voter, ...voters } = members.voters;
    const { [id]: learner, ...learners } = members.learners;
    return { voters, learners };
}

async function setMembers(context: OperatorContext, members: Members): Promise<OperatorResult> {
    const result = await context.keeper.sendMemberChange(members);
    if (result.isErr) {
        return { status: result.error === ProposeFailureKind.Busy ? 503 : 409, body: { type: result.error } };
    }
    return handleKeeperList(context);
}
