import { RaftMessageKind } from "@daisylock/core/raft/raft-message-kind.js";
import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";

import type { RaftBatch } from "../generated/raft.js";

const maxKnownKind: number = RaftMessageKind.TimeoutNow;

/**
 * Decodes messages between keepers. Those of an unknown kind are left out.
 * @param batch - a received batch
 * @returns the messages
 */
export function decodeRaftMessages(batch: RaftBatch): RaftMessage[] {
    // The wire form has every field of every kind, so that it already is a message of its kind.
    return batch.messages.filter(message => message.kind <= maxKnownKind);
}
