import type { LeaderCalls } from "@daisylock/protocol/fleet/leader-calls.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import Result from "true-myth/result";

import type { CallFailure } from "../../http-client/call-failure.js";
import { ControlApi } from "../adapter/control-api.js";
import type { FleetHandlers } from "../peers/fleet-handlers.js";
import type { LeaderClient } from "../peers/leader-client.js";

/** Time for a call that is passed on; operators and targets wait a second. */
const forwardTimeoutMs = 850;

/** Carries out calls here when this keeper leads, and passes them on to the leader otherwise. */
export class ForwardingControlApi extends ControlApi {
    /**
     * @param handlers - answers of this process
     * @param leaderClient - the way to the leader
     * @param findLeaderControlAddress - finds the leader's control address
     */
    constructor(
        private readonly handlers: FleetHandlers,
        private readonly leaderClient: LeaderClient,
        private readonly findLeaderControlAddress: () => string | undefined,
    ) {
        super();
    }

    override async send<Name extends keyof LeaderCalls>(
        name: Name,
        request: LeaderCalls[Name]["request"],
    ): Promise<Result<LeaderCalls[Name]["reply"], CallFailure>> {
        const handler = this.handlers[name] as (request: unknown) => Promise<LeaderReply<LeaderCalls[Name]["reply"]>>;
        const here = await handler(request);
        return here.isLeader ? Result.ok(here.value) : this.leaderClient.send(name, request, forwardTimeoutMs);
    }

    override findLeaderAddress(): string | undefined {
        return this.findLeaderControlAddress();
    }
}
