import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";

/**
 * Groups messages by the keeper that receives them, so that each keeper gets one batch.
 * @param messages - messages in the order in which they are to be sent
 * @returns the messages by id of the receiver, in the same order
 */
export function collectByReceiver(messages: readonly RaftMessage[]): Map<string, RaftMessage[]> {
    const groups = new Map<string, RaftMessage[]>();
    for (const message of messages) {
        const group = groups.get(message.to) ?? [];
        group.push(message);
        groups.set(message.to, group);
    }
    return groups;
}
