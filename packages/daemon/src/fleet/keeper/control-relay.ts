import type { FleetCalls } from "@daisylock/protocol/fleet/fleet-calls.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import Result from "true-myth/result";

import type { CallFailure } from "../../calls/call-failure.js";
import { ControlApi } from "../adapter/control-api.js";
import type { FleetHandlers } from "../peers/fleet-handlers.js";
import type { LeaderCaller } from "../peers/leader-caller.js";

/** Time for a call that is passed on; operators and targets wait a second. */
const timeoutMs = 850;

/** Carries out calls here when this keeper leads, and passes them on to the leader otherwise. */
export class ControlRelay extends ControlApi {
    /**
     * @param handlers - answers of this process
     * @param caller - the way to the leader
     * @param findControl - finds the leader's control address
     */
    constructor(
        private readonly handlers: FleetHandlers,
        private readonly caller: LeaderCaller,
        private readonly findControl: () => string | undefined,
    ) {
        super();
    }

    override async send<Name extends keyof FleetCalls>(
        name: Name,
        request: FleetCalls[Name]["request"],
    ): Promise<Result<FleetCalls[Name]["reply"], CallFailure>> {
        const handler = this.handlers[name] as (request: unknown) => Promise<LeaderReply<FleetCalls[Name]["reply"]>>;
        const here = await handler(request);
        return here.isLeader ? Result.ok(here.value) : this.caller.send(name, request, timeoutMs);
    }

    override findLeaderControl(): string | undefined {
        return this.findControl();
    }
}
