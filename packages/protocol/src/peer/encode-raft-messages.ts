import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";

import { RaftBatch } from "../generated/raft.js";

/**
 * Encodes Raft messages to another keeper.
 * @param messages - the messages
 * @param fromAddress - peer address of this process
 * @returns a batch to send in one call
 */
export function encodeRaftMessages(messages: readonly RaftMessage[], fromAddress: string): RaftBatch {
    return RaftBatch.fromPartial({ messages: messages as never, fromAddress });
}
