import { RaftMessageKind } from "@daisylock/core/log/raft-message-kind.js";
import type { RaftMessage } from "@daisylock/core/log/raft-message.js";

import type { RaftBatch } from "../generated/raft.js";

const lastKind: number = RaftMessageKind.HandOver;

/**
 * Decodes messages between keepers. Those of an unknown kind are left out.
 * @param batch - a received batch
 * @returns the messages
 */
export function decodeRaftMessages(batch: RaftBatch): RaftMessage[] {
    // The wire form has every field of every kind, so that it already is a message of its kind.
    return batch.messages.filter(message => message.kind <= lastKind);
}
