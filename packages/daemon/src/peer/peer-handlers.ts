import type Result from "true-myth/result";

import type { PeerCalls } from "./peer-calls.js";
import type { PeerFailure } from "./peer-failure.js";

/** Handlers for calls from other processes of the cluster. Calls that this process does not serve are absent. */
export type PeerHandlers = {
    [Name in keyof PeerCalls]?: (
        request: PeerCalls[Name]["request"],
    ) => Promise<Result<PeerCalls[Name]["reply"], PeerFailure>>;
};
