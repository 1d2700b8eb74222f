import type { LeaderCalls } from "@daisylock/protocol/fleet/leader-calls.js";
import type Result from "true-myth/result";

import type { CallFailure } from "../../http-client/call-failure.js";

/** Calls that operators and targets may send to any keeper (control-plane replica). */
export abstract class ControlApi {
    /**
     * Handles a call in this process if it leads, or forwards it to the leader.
     * @param name - name of the call
     * @param request - its request
     * @returns the reply, or a failure that tells whether the call may have been carried out
     */
    abstract send<Name extends keyof LeaderCalls>(
        name: Name,
        request: LeaderCalls[Name]["request"],
    ): Promise<Result<LeaderCalls[Name]["reply"], CallFailure>>;
}
