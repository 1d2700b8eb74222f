import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { FaultListener } from "../../containment/fault-listener.js";
import { runContained } from "../../containment/run-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import type { LeaseRenewalRequest } from "./lease-renewal-request.js";
import type { LeaseRenewalResponse } from "./lease-renewal-response.js";
import type { RunRequest } from "./run-request.js";
import type { StartTaskRequest } from "./start-task-request.js";
import { TargetClient } from "./target-client.js";
import { TargetRequestResult } from "./target-request-result.js";
import type { TargetResponse } from "./target-response.js";

const unanswered: TargetResponse = { result: TargetRequestResult.Unanswered, clockMs: undefined };
const unansweredRenewal: LeaseRenewalResponse = {
    ...unanswered,
    incarnation: undefined,
    running: [],
    ended: [],
    areAllEndsListed: false,
};

/** Turns a fault of a client into a response: the request counts as unanswered, as it may have been sent before. */
export class ContainedTargetClient extends TargetClient {
    /**
     * @param client - sends the requests
     * @param noteFault - called with each fault
     */
    constructor(private readonly client: TargetClient, private readonly noteFault: FaultListener) {
        super();
    }

    override startTask(target: TargetRecord, request: StartTaskRequest): Promise<TargetResponse> {
        return this.runContained(target, () => this.client.startTask(target, request), unanswered);
    }

    override stopTask(target: TargetRecord, request: RunRequest): Promise<TargetResponse> {
        return this.runContained(target, () => this.client.stopTask(target, request), unanswered);
    }

    override setPace(target: TargetRecord, request: RunRequest, percent: number): Promise<TargetResponse> {
        return this.runContained(target, () => this.client.setPace(target, request, percent), unanswered);
    }

    override sendLeaseRenewal(target: TargetRecord, request: LeaseRenewalRequest): Promise<LeaseRenewalResponse> {
        return this.runContained(target, () => this.client.sendLeaseRenewal(target, request), unansweredRenewal);
    }

    override checkReachable(
        target: TargetRecord,
        request: Pick<LeaseRenewalRequest, "fencingToken" | "lastSeen">,
    ): Promise<TargetResponse> {
        return this.runContained(target, () => this.client.checkReachable(target, request), unanswered);
    }

    override close(): void {
        this.client.close();
    }

    private runContained<Response>(
        { id }: TargetRecord,
        send: () => Promise<Response>,
        failure: Response,
    ): Promise<Response> {
        return runContained(this.noteFault, { work: WorkKind.TargetRequest, subject: id }, send, () => failure);
    }
}
