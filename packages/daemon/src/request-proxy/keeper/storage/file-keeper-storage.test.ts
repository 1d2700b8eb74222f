import { LogEntryKind } from "@daisylock/core/raft/log-entry-kind.js";
import type { LogEntry } from "@daisylock/core/raft/log-entry.js";
import { SnapshotContent } from "@daisylock/core/raft/snapshot-content.js";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { mkdtempSync, readFileSync, rmSync, truncateSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { decodeRecords } from "./decode-records.js";
import { encodeRecord } from "./encode-record.js";
import { FileKeeperStorage } from "./file-keeper-storage.js";
import { StorageFailureKind } from "./storage-failure-kind.js";

let folder = "";
const buildStorage = () => new FileKeeperStorage(folder, "k");

async function readContent() {
    const storage = buildStorage();
    const content = await storage.load();
    await storage.close();
    return content;
}

const entry = (index: number): LogEntry => ({
    index,
    term: 1,
    kind: LogEntryKind.Command,
    payload: `payload ${index}`,
});
const batch = (...indexes: number[]) => ({
    hard: { term: 1, votedFor: "k" },
    truncateFrom: indexes[0],
    entries: indexes.map(entry),
});

async function writeBatches(count: number): Promise<string> {
    const storage = buildStorage();
    const { id } = await storage.load();
    for (let index = 1; index <= count; index++) {
        await storage.append(batch(index));
    }
    await storage.close();
    return id;
}

beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "daisylock-disk-"));
});
afterEach(() => rmSync(folder, { recursive: true, force: true }));

describe("a keeper's file storage", () => {
    describe("after a restart", () => {
        it("loads its id, its vote and hundreds of entries", async () => {
            const id = await writeBatches(300);
            const content = await readContent();
            expect(content.id).toBe(id);
            expect(content.hard).toEqual({ term: 1, votedFor: "k" });
            expect(content.entries.map(({ payload }) => payload)).toEqual(
                Array.from({ length: 300 }, (_unused, position) => `payload ${position + 1}`),
            );
        });

        it("creates a new id after its folder was deleted", async () => {
            const id = await writeBatches(1);
            rmSync(folder, { recursive: true });
            expect((await readContent()).id).not.toBe(id);
        });

        it("loads its snapshot and the entries after it", async () => {
            await writeBatches(10);
            const storage = buildStorage();
            await storage.load();
            const snapshot = {
                index: 8,
                term: 1,
                members: { voters: { k: "x" }, learners: {} },
                data: SnapshotContent.encode(["state"]),
            };
            await storage.saveSnapshot(snapshot, { index: 6, term: 1 }, batch(7, 8, 9, 10));
            await storage.append(batch(11));
            await storage.close();
            const content = await readContent();
            expect(content.snapshot).toEqual(snapshot);
            expect(content.entries.map(({ index }) => index)).toEqual([7, 8, 9, 10, 11]);
        });
    });

    describe("with a write truncated at any byte", () => {
        it("loads every entry that was synced before", async () => {
            await writeBatches(3);
            const path = join(folder, "log");
            const original = readFileSync(path);
            const thirdPayloadAt = original.lastIndexOf("payload 3");
            const secondRecordEnd = original.lastIndexOf("payload 2") + "payload 2".length;
            expect(thirdPayloadAt).toBeGreaterThan(secondRecordEnd);
            for (let length = secondRecordEnd; length < original.length; length++) {
                writeFileSync(path, original);
                truncateSync(path, length);
                const content = await readContent();
                expect(content.entries.map(({ index }) => index)).toEqual([1, 2]);
            }
        });

        it("drops a tail of sectors that were never written", async () => {
            await writeBatches(2);
            const path = join(folder, "log");
            writeFileSync(path, Buffer.concat([readFileSync(path), Buffer.alloc(600)]));
            expect((await readContent()).entries).toHaveLength(2);
            expect((await readContent()).entries).toHaveLength(2);
        });
    });

    describe("with a flipped byte", () => {
        it("fails to load with an error that names the file, for every position tested", async () => {
            await writeBatches(3);
            const path = join(folder, "log");
            const original = readFileSync(path);
            for (let position = 0; position < original.length; position += 3) {
                const damaged = Buffer.from(original);
                damaged[position] = (damaged[position] ?? 0) ^ 0x40;
                writeFileSync(path, damaged);
                await expect(readContent()).rejects.toMatchObject({
                    kind: StorageFailureKind.CorruptRecord,
                    file: path,
                });
            }
        });
    });

    describe("a snapshot", () => {
        const position = { index: 8, term: 1, members: { voters: { k: "x" }, learners: {} } };
        const text = "\u{1F486}state".repeat(50_000);

        async function saveSnapshot(): Promise<void> {
            const storage = buildStorage();
            await storage.load();
            const snapshot = { ...position, data: SnapshotContent.encode([text]) };
            await storage.saveSnapshot(snapshot, { index: 8, term: 1 }, batch(9));
            await storage.close();
        }

        it("is stored in parts and loaded whole", async () => {
            await saveSnapshot();
            const { snapshot, entries } = await readContent();
            expect(snapshot.data.listBuffers().length).toBeGreaterThan(1);
            expect(snapshot.data.readText() === text).toBe(true);
            expect(entries.map(({ index }) => index)).toEqual([9]);
        });

        it("that lacks a part is refused", async () => {
            await saveSnapshot();
            const { payloads } = decodeRecords("snapshot", readFileSync(join(folder, "snapshot")));
            writeFileSync(join(folder, "snapshot"), Buffer.concat(payloads.slice(0, -1).map(encodeRecord)));
            await expect(readContent()).rejects.toMatchObject({ kind: StorageFailureKind.CorruptSnapshot });
        });

        it("of an earlier release, in one record, is loaded", async () => {
            await saveSnapshot();
            const record = encodeRecord(Buffer.from(JSON.stringify({ ...position, data: text })));
            writeFileSync(join(folder, "snapshot"), record);
            const { data, ...loaded } = (await readContent()).snapshot;
            expect(loaded).toEqual(position);
            expect(data.readText() === text).toBe(true);
        });
    });

    describe("after a failed write", () => {
        it("refuses every later write", async () => {
            const storage = buildStorage();
            await storage.load();
            await storage.close();
            rmSync(folder, { recursive: true });
            const snapshot = { index: 1, term: 1, members: { voters: {}, learners: {} }, data: SnapshotContent.empty };
            await expect(storage.saveSnapshot(snapshot, { index: 0, term: 0 }, batch(1))).rejects.toMatchObject({
                kind: StorageFailureKind.WriteFailed,
            });
            await expect(storage.append(batch(2))).rejects.toMatchObject({ kind: StorageFailureKind.WriteFailed });
        });
    });
});
