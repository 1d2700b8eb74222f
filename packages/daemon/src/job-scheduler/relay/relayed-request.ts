import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { TargetRequestContent } from "../targets/target-request-content.js";

/** Body of a request to a target that another keeper is asked to send. */
export interface RelayedRequest extends TargetRequestContent {
    readonly target: Pick<TargetRecord, "id" | "address">;
    /** When the leader sent it, wall-clock milliseconds. */
    readonly sentAtMs: number;
}
