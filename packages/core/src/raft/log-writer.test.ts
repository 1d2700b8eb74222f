import { describe, expect, it } from "@jest/globals";

import { SnapshotContent } from "./snapshot-content.js";

import { createRaftState } from "./create-raft-state.js";
import { LogEntryKind } from "./log-entry-kind.js";
import { LogWriter } from "./log-writer.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import { receiveRaftMessage } from "./receive-raft-message.js";

const timing = { heartbeatIntervalMs: 50, minElectionTimeoutMs: 300, maxElectionTimeoutMs: 600, leaseMs: 240 };

/** A follower in a cluster of three with an empty disk. */
function createFollower() {
    const members = { voters: { k0: "k0", k1: "k1", k2: "k2" }, learners: {} };
    const state = createRaftState({
        id: "k0",
        timing,
        random: () => 0.5,
        now: 0,
        hard: { term: 0, votedFor: undefined },
        snapshot: { index: 0, term: 0, members, data: SnapshotContent.empty },
        base: { index: 0, term: 0 },
        entries: [],
    });
    const receiveEntries = (term: number, previousIndex: number, previousTerm: number, count: number) =>
        receiveRaftMessage(state, {
            kind: RaftMessageKind.Append,
            from: "k1",
            to: "k0",
            term,
            previousIndex,
            previousTerm,
            entries: Array.from({ length: count }, (_, position) => ({
                index: previousIndex + 1 + position,
                term,
                kind: LogEntryKind.Command,
                payload: "{}",
            })),
            commitIndex: 0,
            sentAt: 0,
        }, 1);
    return { state, writer: new LogWriter(state), receiveEntries };
}

describe("LogWriter", () => {
    it("lets replies wait for the write that covers their entries", () => {
        const { writer, receiveEntries } = createFollower();
        receiveEntries(1, 0, 0, 2);
        expect(writer.takeReadyMessages()).toEqual([]);
        expect(writer.startWrite()?.entries).toHaveLength(2);
        receiveEntries(1, 2, 1, 1);
        expect(writer.takeReadyMessages()).toEqual([]);
        expect(writer.startWrite()).toBeUndefined();
        expect(writer.confirmWrite()).toMatchObject([{ isAccepted: true, index: 2 }]);
        expect(writer.takeReadyMessages()).toEqual([]);
        expect(writer.startWrite()).toMatchObject({ truncateFrom: 3, entries: [{ index: 3 }] });
        expect(writer.confirmWrite()).toMatchObject([{ isAccepted: true, index: 3 }]);
    });

    it("does not count entries as durable that are replaced while they are written", () => {
        const { state, writer, receiveEntries } = createFollower();
        receiveEntries(1, 0, 0, 3);
        writer.startWrite();
        receiveEntries(2, 1, 1, 1);
        writer.confirmWrite();
        expect(state.persistedIndex).toBe(1);
        expect(writer.startWrite()).toMatchObject({ truncateFrom: 2, entries: [{ index: 2, term: 2 }] });
        writer.confirmWrite();
        expect(state.persistedIndex).toBe(2);
    });
});
