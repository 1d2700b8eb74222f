import type { FleetCalls } from "@daisylock/protocol/fleet/fleet-calls.js";
import type Result from "true-myth/result";

import type { CallFailure } from "../../calls/call-failure.js";

/** What operators and targets may ask of any keeper. */
export abstract class ControlApi {
    /**
     * Carries out a call, here or at the leader.
     * @param name - the call
     * @param request - its request
     * @returns the reply, or whether the call may have been carried out
     */
    abstract send<Name extends keyof FleetCalls>(
        name: Name,
        request: FleetCalls[Name]["request"],
    ): Promise<Result<FleetCalls[Name]["reply"], CallFailure>>;

    /**
     * Finds where targets should send their heartbeats.
     * @returns IP number and control port of the leader, or `undefined` when it is this process or not known
     */
    abstract findLeaderControl(): string | undefined;
}
