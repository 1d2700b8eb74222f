import { RaftMessageKind } from "@daisylock/core/raft/raft-message-kind.js";
import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";

import type { RaftBatch } from "../generated/raft.js";

const maxKnownKind: number = RaftMessageKind.TimeoutNow;

/**
 * Decodes Raft messages from a keeper. Messages of an unknown kind are skipped.
 * @param batch - the received batch
 * @returns the messages of known kinds
 */
export function decodeRaftMessages(batch: RaftBatch): RaftMessage[] {
    // A decoded message has the fields of all kinds, so it can be used as a message of its kind without conversion.
    return batch.messages.filter(message => message.kind <= maxKnownKind);
}
