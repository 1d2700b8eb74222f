import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { LeaseRenewalRequest } from "./lease-renewal-request.js";
import type { LeaseRenewalResponse } from "./lease-renewal-response.js";
import type { RunRequest } from "./run-request.js";
import type { StartTaskRequest } from "./start-task-request.js";
import type { TargetResponse } from "./target-response.js";

/** Sends requests to targets. Every request is idempotent, so it may be sent again. */
export abstract class TargetClient {
    /**
     * Requests the start of a task.
     * @param target - the incarnation of the target that is addressed
     * @param request - the task to start
     * @returns the response
     */
    abstract startTask(target: TargetRecord, request: StartTaskRequest): Promise<TargetResponse>;

    /**
     * Requests the stop of a run. A target that has not started the run yet refuses any later start of it.
     * @param target - the incarnation of the target that is addressed
     * @param request - the run
     * @returns the response
     */
    abstract stopTask(target: TargetRecord, request: RunRequest): Promise<TargetResponse>;

    /**
     * Sets the pace of a task as a percentage of its full speed.
     * @param target - the incarnation of the target that is addressed
     * @param request - the run
     * @param percent - 0 to 100
     * @returns the response
     */
    abstract setPace(target: TargetRecord, request: RunRequest, percent: number): Promise<TargetResponse>;

    /**
     * Renews the lease of a target and lists its running tasks and ended runs.
     * @param target - the incarnation of the target that is addressed
     * @param request - the renewal
     * @returns the response; its lists are empty unless the result is `Done`
     */
    abstract sendLeaseRenewal(target: TargetRecord, request: LeaseRenewalRequest): Promise<LeaseRenewalResponse>;

    /**
     * Probes whether the target responds, or lets it discard ends, independently of a renewal that may be in flight. Does
     * not extend the lease.
     * @param target - the incarnation of the target that is addressed
     * @param request - the leader's fencing token and the number of the last end to discard; 0 to discard none
     * @returns the response
     */
    abstract checkReachable(
        target: TargetRecord,
        request: Pick<LeaseRenewalRequest, "fencingToken" | "lastSeen">,
    ): Promise<TargetResponse>;

    /** Closes all connections. */
    abstract close(): void;
}
