import { LogEntryKind } from "@daisylock/core/raft/log-entry-kind.js";
import type { LogEntry } from "@daisylock/core/raft/log-entry.js";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { mkdtempSync, readFileSync, rmSync, truncateSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { FileKeeperStorage } from "./file-keeper-storage.js";
import { StorageFailureKind } from "./storage-failure-kind.js";

let folder = "";
const buildStorage = () => new FileKeeperStorage(folder, "k");

async function readContent() {
    const disk = buildStorage();
    const content = await disk.load();
    await disk.close();
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
    const disk = buildStorage();
    const { id } = await disk.load();
    for (let index = 1; index <= count; index++) {
        await disk.append(batch(index));
    }
    await disk.close();
    return id;
}

beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "daisylock-disk-"));
});
afterEach(() => rmSync(folder, { recursive: true, force: true }));

describe("a keeper's disk", () => {
    describe("after a restart", () => {
        it("has its id, its vote and hundreds of entries again", async () => {
            const id = await writeBatches(300);
            const content = await readContent();
            expect(content.id).toBe(id);
            expect(content.hard).toEqual({ term: 1, votedFor: "k" });
            expect(content.entries.map(({ payload }) => payload)).toEqual(
                Array.from({ length: 300 }, (_unused, position) => `payload ${position + 1}`),
            );
        });

        it("has a new id once it was emptied", async () => {
            const id = await writeBatches(1);
            rmSync(folder, { recursive: true });
            expect((await readContent()).id).not.toBe(id);
        });

        it("goes on from its snapshot", async () => {
            await writeBatches(10);
            const disk = buildStorage();
            await disk.load();
            const snapshot = { index: 8, term: 1, members: { voters: { k: "x" }, learners: {} }, data: "state" };
            await disk.saveSnapshot(snapshot, { index: 6, term: 1 }, batch(7, 8, 9, 10));
            await disk.append(batch(11));
            await disk.close();
            const content = await readContent();
            expect(content.snapshot).toEqual(snapshot);
            expect(content.entries.map(({ index }) => index)).toEqual([7, 8, 9, 10, 11]);
        });
    });

    describe("killed at any byte of a write", () => {
        it("keeps every entry that was synced before", async () => {
            await writeBatches(3);
            const path = join(folder, "log");
            const whole = readFileSync(path);
            const third = whole.lastIndexOf("payload 3");
            const start = whole.lastIndexOf("payload 2") + "payload 2".length;
            expect(third).toBeGreaterThan(start);
            for (let length = start; length < whole.length; length++) {
                writeFileSync(path, whole);
                truncateSync(path, length);
                const content = await readContent();
                expect(content.entries.map(({ index }) => index)).toEqual([1, 2]);
            }
        });

        it("cuts a tail whose sectors were never written", async () => {
            await writeBatches(2);
            const path = join(folder, "log");
            writeFileSync(path, Buffer.concat([readFileSync(path), Buffer.alloc(600)]));
            expect((await readContent()).entries).toHaveLength(2);
            expect((await readContent()).entries).toHaveLength(2);
        });
    });

    describe("with a flipped byte", () => {
        it("refuses to start and names file and offset, wherever the byte is", async () => {
            await writeBatches(3);
            const path = join(folder, "log");
            const whole = readFileSync(path);
            for (let position = 0; position < whole.length; position += 3) {
                const damaged = Buffer.from(whole);
                damaged[position] = (damaged[position] ?? 0) ^ 0x40;
                writeFileSync(path, damaged);
                await expect(readContent()).rejects.toMatchObject({
                    kind: StorageFailureKind.CorruptRecord,
                    file: path,
                });
            }
        });
    });

    describe("that fails to write", () => {
        it("fails for good and does not try again", async () => {
            const disk = buildStorage();
            await disk.load();
            await disk.close();
            rmSync(folder, { recursive: true });
            const snapshot = { index: 1, term: 1, members: { voters: {}, learners: {} }, data: "" };
            await expect(disk.saveSnapshot(snapshot, { index: 0, term: 0 }, batch(1))).rejects.toMatchObject({
                kind: StorageFailureKind.WriteFailed,
            });
            await expect(disk.append(batch(2))).rejects.toMatchObject({ kind: StorageFailureKind.WriteFailed });
        });
    });
});
