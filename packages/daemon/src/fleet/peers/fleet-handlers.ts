import type { FleetCalls } from "@daisylock/protocol/fleet/fleet-calls.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";

/** Answers to the calls that only the leader answers. */
export type FleetHandlers = {
    readonly [Name in keyof FleetCalls]: (
        request: FleetCalls[Name]["request"],
    ) => Promise<LeaderReply<FleetCalls[Name]["reply"]>>;
};
