import { RaftMessageKind } from "@daisylock/core/raft/raft-message-kind.js";
import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";
import { RaftBatch } from "@daisylock/protocol/generated/raft.js";
import { encodeRaftMessages } from "@daisylock/protocol/peer/encode-raft-messages.js";

import type { FaultListener } from "../../containment/fault-listener.js";
import { startContained } from "../../containment/start-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import type { HttpClient } from "../../http-client/http-client.js";
import { MessageDropReason } from "../../metrics/message-drop-reason.js";
import { MetricName } from "../../metrics/metric-name.js";
import type { Metrics } from "../../metrics/metrics.js";
import { peerPaths } from "./peer-paths.js";

/** Time after which a batch counts as lost, milliseconds; its connection, which may be half-open, is then replaced. */
const sendTimeoutMs = 600;
/** Limit of batches in flight to one address; further messages are dropped, which the replicated log tolerates. */
const maxInFlightBatches = 16;
const headers = { "content-type": "application/x-protobuf" };

/** Sends messages of the replicated log to other keepers (control-plane replicas), without a delivery guarantee. */
export class RaftSender {
    private readonly inFlightBatches = new Map<string, number>();

    /**
     * @param http - client for other processes
     * @param ownAddress - peer address of this process, to which replies go
     * @param metrics - counters of sent entries and bytes and of dropped messages
     * @param noteFault - called with each fault
     */
    constructor(
        private readonly http: Pick<HttpClient, "send">,
        private readonly ownAddress: string,
        private readonly metrics: Pick<Metrics, "addCount">,
        private readonly noteFault: FaultListener,
    ) {}

    /**
     * Sends messages in one batch; drops them while too many batches are in flight.
     * @param address - peer address of the receiver
     * @param messages - the messages
     */
    sendMessages(address: string, messages: readonly RaftMessage[]): void {
        const inFlightCount = this.inFlightBatches.get(address) ?? 0;
        if (inFlightCount >= maxInFlightBatches) {
            this.metrics.addCount(
                MetricName.MessagesDropped,
                { reason: MessageDropReason.InFlight },
                messages.length,
            );
            return;
        }
        this.inFlightBatches.set(address, inFlightCount + 1);
        const body = Buffer.from(RaftBatch.encode(encodeRaftMessages(messages, this.ownAddress)).finish());
        this.metrics.addCount(MetricName.EntriesSent, {}, countEntries(messages));
        this.metrics.addCount(MetricName.BytesSent, {}, body.length);
        const call = { address, method: "POST", path: peerPaths.raft, headers, body, timeoutMs: sendTimeoutMs };
        startContained(this.noteFault, { work: WorkKind.PeerCall, subject: address }, async () => {
            try {
                await this.http.send({ ...call, isOneWay: true });
            }
            finally {
                this.inFlightBatches.set(address, (this.inFlightBatches.get(address) ?? 1) - 1);
            }
        });
    }
}

function countEntries(messages: readonly RaftMessage[]): number {
    return messages.reduce(
        (count, message) => message.kind === RaftMessageKind.Append ? count + message.entries.length : count,
        0,
    );
}
