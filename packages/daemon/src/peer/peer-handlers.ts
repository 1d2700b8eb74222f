import type Result from "true-myth/result";

import type { PeerCalls } from "./peer-calls.js";
import type { PeerFailure } from "./peer-failure.js";

/** What this process does for others of the cluster; a call that it does not offer is left out. */
export type PeerHandlers = {
    [Name in keyof PeerCalls]?: (
        request: PeerCalls[Name]["request"],
    ) => Promise<Result<PeerCalls[Name]["reply"], PeerFailure>>;
};
