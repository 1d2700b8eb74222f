import type { LeaderCalls } from "@daisylock/protocol/fleet/leader-calls.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import Result from "true-myth/result";

import type { CallFailure } from "../../http-client/call-failure.js";
import { ControlApi } from "../adapter/control-api.js";
import type { FleetHandlers } from "../peers/fleet-handlers.js";
import type { LeaderClient } from "../peers/leader-client.js";

/** Timeout of a call that is forwarded, milliseconds; operators and targets wait one second for a response. */
const forwardTimeoutMs = 850;

/** Handles calls in this process when its keeper leads, and forwards them to the leader otherwise. */
export class ForwardingControlApi extends ControlApi {
    /**
     * @param handlers - handlers of this process, which reply only while it leads
     * @param leaderClient - client for calls to the leader
     */
    constructor(
        private readonly handlers: FleetHandlers,
        private readonly leaderClient: LeaderClient,
    ) {
        super();
    }

    override async send<Name extends keyof LeaderCalls>(
        name: Name,
        request: LeaderCalls[Name]["request"],
    ): Promise<Result<LeaderCalls[Name]["reply"], CallFailure>> {
        const handler = this.handlers[name] as (request: unknown) => Promise<LeaderReply<LeaderCalls[Name]["reply"]>>;
        const localReply = await handler(request);
        return localReply.isLeader
            ? Result.ok(localReply.value)
            : this.leaderClient.send(name, request, forwardTimeoutMs);
    }
}
