import { LogEntryKind } from "@daisylock/core/raft/log-entry-kind.js";
import { RaftMessageKind } from "@daisylock/core/raft/raft-message-kind.js";
import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";
import * as v from "valibot";

import type { RaftBatch } from "../generated/raft.js";
import { membersSchema } from "./members-schema.js";

type RaftMessageData = RaftBatch["messages"][number];

const maxKnownKind: number = RaftMessageKind.TimeoutNow;
const snapshotChunkKind: number = RaftMessageKind.SnapshotChunk;
const membersEntryKind: number = LogEntryKind.Members;
const maxKnownEntryKind = membersEntryKind;

/**
 * Decodes Raft messages from a keeper. Messages of an unknown kind, and messages whose members or entries cannot be
 * applied, are skipped, as a message that the network loses would be.
 * @param batch - the received batch
 * @returns the other messages
 */
export function decodeRaftMessages(batch: RaftBatch): RaftMessage[] {
    // A decoded message has the fields of all kinds, so it can be used as a message of its kind without conversion.
    return batch.messages.filter(message => isApplicable(message));
}

function isApplicable({ kind, entries, members, sentAt }: RaftMessageData): boolean {
    if (kind > maxKnownKind || !Number.isFinite(sentAt)) {
        return false;
    }
    return (kind !== snapshotChunkKind || isMembers(members))
        && entries.every(entry =>
            entry.kind <= maxKnownEntryKind && (entry.kind !== membersEntryKind || isMembers(entry.payload))
        );
}

function isMembers(text: string): boolean {
    try {
        return v.is(membersSchema, JSON.parse(text));
    }
    catch {
        return false;
    }
}
