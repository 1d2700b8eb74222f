import type { LeaderCalls } from "@daisylock/protocol/fleet/leader-calls.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";

/** Answers to the calls that only the leader answers. */
export type FleetHandlers = {
    readonly [Name in keyof LeaderCalls]: (
        request: LeaderCalls[Name]["request"],
    ) => Promise<LeaderReply<LeaderCalls[Name]["reply"]>>;
};
