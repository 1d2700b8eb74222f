import type { LeaderCalls } from "@daisylock/protocol/fleet/leader-calls.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";

/** Handlers of the calls that only the leader serves. */
export type FleetHandlers = {
    readonly [Name in keyof LeaderCalls]: (
        request: LeaderCalls[Name]["request"],
    ) => Promise<LeaderReply<LeaderCalls[Name]["reply"]>>;
};
