import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { LeaseRenewalRequest } from "./lease-renewal-request.js";
import type { LeaseRenewalResponse } from "./lease-renewal-response.js";
import type { RunRequest } from "./run-request.js";
import type { StartTaskRequest } from "./start-task-request.js";
import { TargetClient } from "./target-client.js";
import { TargetRequestKind } from "./target-request-kind.js";
import type { TargetResponse } from "./target-response.js";

/** Counts the requests that a target client sends, by kind. */
export class CountedTargetClient extends TargetClient {
    /**
     * @param client - sends the requests
     * @param noteRequest - called for each request with its kind
     */
    constructor(
        private readonly client: TargetClient,
        private readonly noteRequest: (kind: TargetRequestKind) => void,
    ) {
        super();
    }

    override startTask(target: TargetRecord, request: StartTaskRequest): Promise<TargetResponse> {
        this.noteRequest(TargetRequestKind.Start);
        return this.client.startTask(target, request);
    }

    override stopTask(target: TargetRecord, request: RunRequest): Promise<TargetResponse> {
        this.noteRequest(TargetRequestKind.Stop);
        return this.client.stopTask(target, request);
    }

    override setPace(target: TargetRecord, request: RunRequest, percent: number): Promise<TargetResponse> {
        this.noteRequest(TargetRequestKind.Pace);
        return this.client.setPace(target, request, percent);
    }

    override sendLeaseRenewal(target: TargetRecord, request: LeaseRenewalRequest): Promise<LeaseRenewalResponse> {
        this.noteRequest(TargetRequestKind.Renew);
        return this.client.sendLeaseRenewal(target, request);
    }

    override checkReachable(
        target: TargetRecord,
        request: Pick<LeaseRenewalRequest, "fencingToken" | "lastSeen">,
    ): Promise<TargetResponse> {
        this.noteRequest(TargetRequestKind.Check);
        return this.client.checkReachable(target, request);
    }

    override close(): void {
        this.client.close();
    }
}
