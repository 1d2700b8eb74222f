import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";
import { RaftBatch } from "@daisylock/protocol/generated/raft.js";
import { encodeRaftMessages } from "@daisylock/protocol/peer/encode-raft-messages.js";

import type { HttpClient } from "../../http-client/http-client.js";
import { peerPaths } from "./peer-paths.js";

/** Time after which a message counts as lost and its connection, which may have gone silent, is replaced, milliseconds. */
const sendTimeoutMs = 600;
/** Batches under way to one address; above it messages are dropped, which the log allows. */
const maxInFlightBatches = 16;
const headers = { "content-type": "application/x-protobuf" };

/** Sends messages of the replicated log to other keepers; loss is allowed. */
export class RaftSender {
    private readonly inFlightBatches = new Map<string, number>();

    /**
     * @param http - the connections
     * @param ownAddress - peer address of this process, to which replies go
     */
    constructor(private readonly http: HttpClient, private readonly ownAddress: string) {}

    /**
     * Sends messages.
     * @param address - peer address of the receiver
     * @param messages - the messages
     */
    sendMessages(address: string, messages: readonly RaftMessage[]): void {
        const count = this.inFlightBatches.get(address) ?? 0;
        if (count >= maxInFlightBatches) {
            return;
        }
        this.inFlightBatches.set(address, count + 1);
        const body = Buffer.from(RaftBatch.encode(encodeRaftMessages(messages, this.ownAddress)).finish());
        void this.http.send({ address, method: "POST", path: peerPaths.raft, headers, body, timeoutMs: sendTimeoutMs })
            .then(() => this.inFlightBatches.set(address, (this.inFlightBatches.get(address) ?? 1) - 1));
    }
}
