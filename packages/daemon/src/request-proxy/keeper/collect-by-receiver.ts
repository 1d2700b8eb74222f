import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";

/**
 * Collects messages by the keeper that they go to, so that each gets one batch.
 * @param messages - messages in order
 * @returns the messages by receiver, in order
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
