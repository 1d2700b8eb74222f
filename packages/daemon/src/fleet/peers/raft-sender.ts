import type { RaftMessage } from "@daisylock/core/log/raft-message.js";
import { RaftBatch } from "@daisylock/protocol/generated/raft.js";
import { encodeRaftMessages } from "@daisylock/protocol/peer/encode-raft-messages.js";

import type { HttpCaller } from "../../calls/http-caller.js";
import { peerPaths } from "./peer-paths.js";

/** Time after which a message counts as lost and its connection, which may have gone silent, is replaced, milliseconds. */
const timeoutMs = 600;
/** Batches under way to one address; above it messages are dropped, which the log allows. */
const maxUnderWay = 16;
const headers = { "content-type": "application/x-protobuf" };

/** Sends messages of the replicated log to other keepers; loss is allowed. */
export class RaftSender {
    private readonly underWay = new Map<string, number>();

    /**
     * @param caller - the connections
     * @param ownAddress - peer address of this process, to which replies go
     */
    constructor(private readonly caller: HttpCaller, private readonly ownAddress: string) {}

    /**
     * Sends messages.
     * @param address - peer address of the receiver
     * @param messages - the messages
     */
    sendMessages(address: string, messages: readonly RaftMessage[]): void {
        const count = this.underWay.get(address) ?? 0;
        if (count >= maxUnderWay) {
            return;
        }
        this.underWay.set(address, count + 1);
        const body = Buffer.from(RaftBatch.encode(encodeRaftMessages(messages, this.ownAddress)).finish());
        void this.caller.send({ address, method: "POST", path: peerPaths.raft, headers, body, timeoutMs }).then(() =>
            this.underWay.set(address, (this.underWay.get(address) ?? 1) - 1)
        );
    }
}
