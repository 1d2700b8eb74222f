import { describe, expect, it } from "@jest/globals";

import { createRaftState } from "./create-raft-state.js";
import { handleSnapshotChunk } from "./handle-snapshot-chunk.js";
import { handleSnapshotReply } from "./handle-snapshot-reply.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftMessage } from "./raft-message.js";
import type { RaftState } from "./raft-state.js";
import { sendAppend } from "./send-append.js";
import { SnapshotContent } from "./snapshot-content.js";
import { startLeading } from "./start-leading.js";

type SnapshotChunk = Extract<RaftMessage, { kind: RaftMessageKind.SnapshotChunk }>;

const snapshotIndex = 2_000;
const chunkCharacters = 64 * 1024;
const members = { voters: { leader: "leader", follower: "follower" }, learners: {} };
/** Largest number of messages that a transfer of these snapshots may take. */
const maxMessages = 40;

function createKeeper(id: string, data = "", leaderTerm = 1): RaftState {
    const index = data === "" ? 0 : snapshotIndex;
    const term = data === "" ? 0 : 1;
    const state = createRaftState({
        id,
        timing: { heartbeatIntervalMs: 50, minElectionTimeoutMs: 300, maxElectionTimeoutMs: 600, leaseMs: 240 },
        random: () => 0.5,
        now: 0,
        hard: { term: leaderTerm, votedFor: undefined },
        snapshot: { index, term, members, data: SnapshotContent.encode(data === "" ? [] : [data]) },
        base: { index, term },
        entries: [],
    });
    if (data !== "") {
        startLeading(state, 0);
    }
    return state;
}

/** Takes the messages of one kind that a keeper sends. */
function takeMessages<Kind extends RaftMessageKind>(state: RaftState, kind: Kind) {
    return state.outbox.splice(0).filter(message => message.kind === kind) as Extract<RaftMessage, { kind: Kind }>[];
}

/** What becomes of a text that is sent as UTF-8. */
function sendAsUtf8(text: string): string {
    return Buffer.from(text).toString();
}

/** Passes chunks and replies between leader and follower, and returns the chunks as they were sent. */
function runTransfer(
    leader: RaftState,
    follower: RaftState,
    changeChunk: (chunk: SnapshotChunk) => SnapshotChunk = chunk => chunk,
    messageCount = maxMessages,
): SnapshotChunk[] {
    const chunks: SnapshotChunk[] = [];
    const peer = leader.peers.get("follower");
    if (peer === undefined) {
        throw new TypeError("the leader has no peer");
    }
    leader.outbox = [];
    peer.nextIndex = 1;
    peer.chunkSentAt = undefined;
    for (let now = 1; now <= messageCount && follower.snapshot.index < snapshotIndex; now++) {
        sendAppend(leader, "follower", peer, now);
        for (const chunk of takeMessages(leader, RaftMessageKind.SnapshotChunk)) {
            chunks.push(chunk);
            const changed = changeChunk(chunk);
            handleSnapshotChunk(follower, { ...changed, data: sendAsUtf8(changed.data) }, now);
        }
        for (const reply of takeMessages(follower, RaftMessageKind.SnapshotReply)) {
            handleSnapshotReply(leader, reply, now);
        }
    }
    return chunks;
}

/** Cuts a snapshot as keepers of earlier releases do: at any code unit, and without a checksum. */
function cutAsEarlierRelease(data: string): (chunk: SnapshotChunk) => SnapshotChunk {
    return chunk => ({
        ...chunk,
        data: data.slice(chunk.offset, chunk.offset + chunkCharacters),
        isLast: chunk.offset + chunkCharacters >= data.length,
        checksum: undefined,
    });
}

describe("a snapshot that is sent in chunks", () => {
    // The halves of a character that was cut arrived as replacement characters, and jobs started with another spec.
    it.each([0, 1])("keeps characters beyond the basic plane wherever it is cut (offset %d)", offset => {
        const data = JSON.stringify({ spec: "!".repeat(offset) + "\u{1F486}\u{1F33F}".repeat(70_000) });
        const follower = createKeeper("follower");
        const chunks = runTransfer(createKeeper("leader", data), follower);
        expect(follower.snapshot.data.readText() === data).toBe(true);
        expect(chunks.map(chunk => chunk.offset)).toEqual(
            chunks.map((_, position) => chunks.slice(0, position).reduce((sum, chunk) => sum + chunk.data.length, 0)),
        );
    });

    it("keeps lone surrogates, U+0000, byte order marks and replacement characters", () => {
        const odd = "\uD83D \u0000 \uFEFF \uFFFD \uDC86";
        const data = JSON.stringify({ spec: odd.repeat(20_000) });
        const follower = createKeeper("follower");
        runTransfer(createKeeper("leader", data), follower);
        expect((JSON.parse(follower.snapshot.data.readText()) as { spec: string }).spec === odd.repeat(20_000)).toBe(
            true,
        );
    });

    it.each([0, 1])("arrives whole from a leader of an earlier release that cuts characters (offset %d)", offset => {
        const data = JSON.stringify({
            spec: "!".repeat(offset) + "\u{1F486}".repeat(50_000) + "\uFFFD".repeat(70_000)
                + "\u{1F33F}".repeat(40_000),
        });
        const follower = createKeeper("follower");
        runTransfer(createKeeper("leader", data), follower, cutAsEarlierRelease(data));
        expect(follower.snapshot.data.readText() === data).toBe(true);
    });

    it("is fetched again when a chunk arrives damaged", () => {
        const data = JSON.stringify({ spec: "x".repeat(200_000) });
        const follower = createKeeper("follower");
        let damagedCount = 0;
        runTransfer(createKeeper("leader", data), follower, chunk => {
            if (chunk.offset === 0 || damagedCount > 0) {
                return chunk;
            }
            damagedCount += 1;
            return { ...chunk, data: `y${chunk.data.slice(1)}` };
        });
        expect(damagedCount).toBe(1);
        expect(follower.snapshot.data.readText() === data).toBe(true);
    });

    // Leaders may order the same content differently, so that chunks of two of them do not fit together.
    it("starts again when another leader goes on with it", () => {
        const [first, second] = ["a", "b"].map(letter => JSON.stringify({ spec: letter.repeat(200_000) }));
        const follower = createKeeper("follower");
        runTransfer(createKeeper("leader", first), follower, undefined, 2);
        expect(follower.snapshot.index).toBe(0);
        runTransfer(createKeeper("leader", second, 2), follower);
        expect(follower.snapshot.data.readText() === second).toBe(true);
    });
});
