import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { LeaseRenewalRequest } from "./lease-renewal-request.js";
import type { RunRequest } from "./run-request.js";
import type { StartTaskRequest } from "./start-task-request.js";
import type { TargetClient } from "./target-client.js";
import type { TargetRequestContent } from "./target-request-content.js";
import { TargetRequestKind } from "./target-request-kind.js";
import type { TargetResponse } from "./target-response.js";

type Send = (client: TargetClient, target: TargetRecord, content: TargetRequestContent) => Promise<TargetResponse>;

/** Sends a request of each kind; the content is that of the same kind. */
const sendByKind: Readonly<Record<TargetRequestKind, Send>> = {
    [TargetRequestKind.Start]: (client, target, { request }) => client.startTask(target, request as StartTaskRequest),
    [TargetRequestKind.Stop]: (client, target, { request }) => client.stopTask(target, request as RunRequest),
    [TargetRequestKind.Pace]: (client, target, { request, percent }) =>
        client.setPace(target, request as RunRequest, percent ?? 0),
    [TargetRequestKind.Renew]: (client, target, { request }) =>
        client.sendLeaseRenewal(target, request as LeaseRenewalRequest),
    [TargetRequestKind.Check]: (client, target, { request }) =>
        client.checkReachable(target, request as Pick<LeaseRenewalRequest, "fencingToken" | "lastSeen">),
};

/** Sends requests to targets from this process, by their kind, and counts them. */
export class TargetRequestSender {
    /**
     * @param client - sends the requests
     * @param noteRequest - called for each request with its kind
     */
    constructor(
        private readonly client: TargetClient,
        private readonly noteRequest: (kind: TargetRequestKind) => void,
    ) {}

    /**
     * Sends a request.
     * @param kind - its kind
     * @param target - the incarnation of the target that is addressed
     * @param content - the request
     * @returns the response
     */
    send(kind: TargetRequestKind, target: TargetRecord, content: TargetRequestContent): Promise<TargetResponse> {
        this.noteRequest(kind);
        return sendByKind[kind](this.client, target, content);
    }

    /** Closes all connections. */
    close(): void {
        this.client.close();
    }
}
