import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { LeaseRenewalRequest } from "./lease-renewal-request.js";
import type { LeaseRenewalResponse } from "./lease-renewal-response.js";
import type { RunRequest } from "./run-request.js";
import type { StartTaskRequest } from "./start-task-request.js";
import type { TargetResponse } from "./target-response.js";

/** Sends orders to targets. Every order may be sent again with the same meaning. */
export abstract class TargetClient {
    /**
     * Orders the start of a task.
     * @param target - the target life that is meant
     * @param order - the start
     * @returns what became of it
     */
    abstract startTask(target: TargetRecord, order: StartTaskRequest): Promise<TargetResponse>;

    /**
     * Orders the stop of a run. A run that is not there yet is refused from then on.
     * @param target - the target life that is meant
     * @param order - the run
     * @returns what became of it
     */
    abstract stopTask(target: TargetRecord, order: RunRequest): Promise<TargetResponse>;

    /**
     * Sets the share of its speed at which a task works.
     * @param target - the target life that is meant
     * @param order - the run
     * @param percent - 0 to 100
     * @returns what became of it
     */
    abstract setPace(target: TargetRecord, order: RunRequest, percent: number): Promise<TargetResponse>;

    /**
     * Renews the lease and lists what runs and what has ended.
     * @param target - the target life that is meant
     * @param order - the renewal
     * @returns the lists, which are empty unless the result is Done
     */
    abstract updateLease(target: TargetRecord, order: LeaseRenewalRequest): Promise<LeaseRenewalResponse>;

    /**
     * Looks whether the target answers, beside a renewal that may be under way. Grants nothing.
     * @param target - the target life that is meant
     * @param order - the leader's fencing token and the newest end that it has committed
     * @returns what became of it
     */
    abstract checkReachable(
        target: TargetRecord,
        order: Pick<LeaseRenewalRequest, "fencingToken" | "lastSeen">,
    ): Promise<TargetResponse>;

    /** Closes all connections. */
    abstract close(): void;
}
