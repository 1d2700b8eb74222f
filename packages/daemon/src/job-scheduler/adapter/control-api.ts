import type { LeaderCalls } from "@daisylock/protocol/fleet/leader-calls.js";
import type Result from "true-myth/result";

import type { CallFailure } from "../../http-client/call-failure.js";

/** What operators and targets may ask of any keeper. */
export abstract class ControlApi {
    /**
     * Carries out a call, here or at the leader.
     * @param name - the call
     * @param request - its request
     * @returns the reply, or whether the call may have been carried out
     */
    abstract send<Name extends keyof LeaderCalls>(
        name: Name,
        request: LeaderCalls[Name]["request"],
    ): Promise<Result<LeaderCalls[Name]["reply"], CallFailure>>;

    /**
     * Finds where targets should send their heartbeats.
     * @returns IP number and control port of the leader, or `undefined` when it is this process or not known
     */
    abstract findLeaderAddress(): string | undefined;
}
