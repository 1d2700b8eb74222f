import { maxRelayAgeMs } from "@daisylock/core/targets/max-relay-age-ms.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import * as v from "valibot";

import type { NoticeSender } from "../../channel/notice-sender.js";
import type { Clock } from "../../clock/clock.js";
import type { FaultListener } from "../../containment/fault-listener.js";
import { runContained } from "../../containment/run-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import type { HttpResponse } from "../../http-client/http-response.js";
import { parseJsonBody } from "../../http/parse-json-body.js";
import { peerPaths } from "../peers/peer-paths.js";
import type { LeaseRenewalRequest } from "../targets/lease-renewal-request.js";
import type { LeaseRenewalResponse } from "../targets/lease-renewal-response.js";
import { TargetRequestKind } from "../targets/target-request-kind.js";
import type { TargetRequestSender } from "../targets/target-request-sender.js";
import type { TargetResponse } from "../targets/target-response.js";
import type { RelayReply } from "./relay-reply.js";
import { relayedBatchSchema } from "./relayed-batch-schema.js";
import { relayedRequestSchema } from "./relayed-request-schema.js";
import type { RelayedRequest } from "./relayed-request.js";
import { TextBatcher } from "./text-batcher.js";

const unknownKind: RelayReply = { status: 404, content: undefined };
const malformed: RelayReply = { status: 400, content: undefined };
const expired: RelayReply = { status: 503, content: undefined };
const failed: RelayReply = { status: 500, content: undefined };
/** Largest reply, bytes; well below the largest frame of a channel, as others travel with it. */
const maxReplyBytes = 4 * 1_024 * 1_024;
const successStatus = 200;
const emptyBody = Buffer.alloc(0);
const kinds: readonly string[] = Object.values(TargetRequestKind);

/** Sends requests to targets for the leader and returns their responses. */
export class TargetRequestRelay {
    /** Replies that wait for the next write of each channel. */
    private readonly replyBatchers = new WeakMap<NoticeSender, TextBatcher>();

    /**
     * @param sender - sends the requests
     * @param clock - wall clock
     * @param noteFault - called with each fault of a request in a batch
     */
    constructor(
        private readonly sender: Pick<TargetRequestSender, "send">,
        private readonly clock: Clock,
        private readonly noteFault: FaultListener,
    ) {}

    /**
     * Sends one request.
     * @param kind - its kind, as in the path of the call
     * @param body - the relayed request
     * @returns the response of the target; status 404 for an unknown kind, 400 for a
     *     malformed body, 503 when the request is too old to be sent
     */
    async handleRequest(kind: string, body: Buffer): Promise<HttpResponse> {
        const call = parseJsonBody(body, relayedRequestSchema);
        const { status, content } = await this.runRequest(kind, call);
        return { status, body: content === undefined ? emptyBody : Buffer.from(JSON.stringify(content)) };
    }

    /**
     * Sends the requests of a batch at once. Each is replied to on its own, with the status that it would have alone.
     * @param body - the batch
     * @param channel - channel on which the replies are sent, in batches
     * @returns once all are replied to; status 400 for a malformed batch, of which nothing is sent
     */
    async handleBatch(body: Buffer, channel: NoticeSender): Promise<HttpResponse> {
        const batch = parseJsonBody(body, relayedBatchSchema) as
            | [id: number, kind: string, body: unknown][]
            | undefined;
        if (batch === undefined) {
            return { status: malformed.status, body: emptyBody };
        }
        const replies = this.findReplyBatcher(channel);
        await Promise.all(batch.map(async ([id, kind, content]) => {
            const work = { work: WorkKind.PeerRequest, subject: kind };
            const reply = await runContained(this.noteFault, work, () => this.runRequest(kind, content), () => failed);
            replies.addText(encodeReply(id, reply));
        }));
        return { status: successStatus, body: emptyBody };
    }

    private findReplyBatcher(channel: NoticeSender): TextBatcher {
        const known = this.replyBatchers.get(channel);
        const batcher = known
            ?? new TextBatcher(buildBody => channel.scheduleNotice(peerPaths.relayReplies, buildBody));
        this.replyBatchers.set(channel, batcher);
        return batcher;
    }

    private async runRequest(kind: string, content: unknown): Promise<RelayReply> {
        if (!kinds.includes(kind)) {
            return unknownKind;
        }
        if (!v.is(relayedRequestSchema, content)) {
            return malformed;
        }
        const call = content as unknown as RelayedRequest;
        if (Math.abs(this.clock.readWall() - call.sentAtMs) > maxRelayAgeMs) {
            return expired;
        }
        const response = await this.sender.send(kind as TargetRequestKind, call.target as TargetRecord, call);
        return { status: successStatus, content: dropRunning(call, response) };
    }
}

/** Encodes a reply; one that is too large for a channel counts as failed, so that the leader sends the request itself. */
function encodeReply(id: number, { status, content }: RelayReply): string {
    const text = JSON.stringify([id, status, content]);
    return Buffer.byteLength(text) <= maxReplyBytes ? text : JSON.stringify([id, failed.status]);
}

/** Leaves the running tasks out of a renewal's response if the leader allows it. */
function dropRunning({ request }: RelayedRequest, response: TargetResponse): TargetResponse {
    const { ended } = response as Partial<LeaseRenewalResponse>;
    const { mayOmitRunning } = request as Partial<LeaseRenewalRequest>;
    return mayOmitRunning === true && ended !== undefined && ended.length > 0
        ? { ...response, running: undefined } as TargetResponse
        : response;
}
