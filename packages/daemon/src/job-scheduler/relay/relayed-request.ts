import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

/** Body of a request to a target that another keeper is asked to send. */
export interface RelayedRequest {
    readonly target: Pick<TargetRecord, "id" | "address">;
    /** When the leader sent it, wall-clock milliseconds. */
    readonly sentAtMs: number;
    readonly request: unknown;
    /** Only for a change of the pace: percent of full speed. */
    readonly percent?: number;
}
