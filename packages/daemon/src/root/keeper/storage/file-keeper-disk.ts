import type { LogEntry } from "@daisylock/core/log/log-entry.js";
import type { Snapshot } from "@daisylock/core/log/snapshot.js";
import { LogRecordData } from "@daisylock/protocol/generated/log.js";
import { randomBytes } from "node:crypto";
import { type FileHandle, mkdir, open, readFile, rename } from "node:fs/promises";
import { join } from "node:path";

import { decodeRecords } from "./decode-records.js";
import { encodeRecord } from "./encode-record.js";
import { KeeperDisk } from "./keeper-disk.js";
import { StorageFailureKind } from "./storage-failure-kind.js";
import { StorageFailure } from "./storage-failure.js";

type Content = Awaited<ReturnType<KeeperDisk["load"]>>;
type Batch = Parameters<KeeperDisk["append"]>[0];
type Base = Content["base"];

const emptySnapshot: Snapshot = { index: 0, term: 0, members: { voters: {}, learners: {} }, data: "" };

/** Keeps identity, snapshot and log of a keeper as files in one folder. */
export class FileKeeperDisk extends KeeperDisk {
    private log: FileHandle | undefined;
    private failure: StorageFailure | undefined;

    /**
     * @param folder - the data folder
     * @param name - name of the process, the first part of a new disk's id
     */
    constructor(private readonly folder: string, private readonly name: string) {
        super();
    }

    override async load(): Promise<Content> {
        await mkdir(this.folder, { recursive: true });
        const id = await this.loadIdentity();
        const snapshot = await this.loadSnapshot();
        const content = await this.loadLog(id, snapshot);
        this.log = await open(this.readPath("log"), "a");
        await this.syncFolder();
        return content;
    }

    override async append(batch: Batch): Promise<void> {
        await this.writeSafely("log", async () => {
            await this.log?.appendFile(encodeBatch(batch));
            await this.log?.datasync();
        });
    }

    override async saveSnapshot(snapshot: Snapshot, base: Base, batch: Batch): Promise<void> {
        await this.writeSafely("snapshot", async () => {
            await this.writeFile("snapshot", encodeRecord(Buffer.from(JSON.stringify(snapshot))));
            const previous = this.log;
            const header = encodeRecord(
                LogRecordData.encode(LogRecordData.fromPartial({ baseIndex: base.index, baseTerm: base.term }))
                    .finish(),
            );
            await this.writeFile("log", Buffer.concat([header, encodeBatch(batch)]));
            this.log = await open(this.readPath("log"), "a");
            await previous?.close();
        });
    }

    override async close(): Promise<void> {
        const log = this.log;
        this.log = undefined;
        await log?.close();
    }

    private readPath(file: string): string {
        return join(this.folder, file);
    }

    private async loadIdentity(): Promise<string> {
        const path = this.readPath("identity");
        const content = await readIfPresent(path);
        if (content === undefined) {
            const id = `${this.name}.${randomBytes(4).toString("hex")}`;
            await this.writeFile("identity", encodeRecord(Buffer.from(id)));
            return id;
        }
        const [payload] = decodeRecords(path, content).payloads;
        if (payload === undefined) {
            throw new StorageFailure(StorageFailureKind.CorruptIdentity, path, 0, "no whole record");
        }
        return payload.toString();
    }

    private async loadSnapshot(): Promise<Snapshot> {
        const path = this.readPath("snapshot");
        const content = await readIfPresent(path);
        if (content === undefined) {
            return emptySnapshot;
        }
        const [payload] = decodeRecords(path, content).payloads;
        if (payload === undefined) {
            throw new StorageFailure(StorageFailureKind.CorruptSnapshot, path, 0, "no whole record");
        }
        return JSON.parse(payload.toString()) as Snapshot;
    }

    private async loadLog(id: string, snapshot: Snapshot): Promise<Content> {
        const path = this.readPath("log");
        const content = await readIfPresent(path) ?? Buffer.alloc(0);
        const { payloads, validBytes } = decodeRecords(path, content);
        if (validBytes < content.length) {
            await cutTail(path, validBytes);
        }
        const replay = new LogReplay();
        for (const payload of payloads) {
            replay.apply(LogRecordData.decode(payload));
        }
        replay.startAfter(snapshot);
        checkContinuity(path, replay, snapshot);
        return { id, snapshot, hard: replay.hard, base: replay.base, entries: replay.entries };
    }

    /** Writes a file beside its place, syncs it, and puts it there, so that either the old or the new one is whole. */
    private async writeFile(file: string, content: Buffer): Promise<void> {
        const path = this.readPath(file);
        const handle = await open(`${path}.new`, "w");
        await handle.writeFile(content);
        await handle.sync();
        await handle.close();
        await rename(`${path}.new`, path);
        await this.syncFolder();
    }

    private async syncFolder(): Promise<void> {
        const folder = await open(this.folder, "r");
        await folder.sync();
        await folder.close();
    }

    /** After one failure nothing is written again: the page cache may claim to hold what the disk lost. */
    private async writeSafely(file: string, write: () => Promise<void>): Promise<void> {
        if (this.failure !== undefined) {
            throw this.failure;
        }
        try {
            await write();
        }
        catch (error) {
            const path = this.readPath(file);
            this.failure = new StorageFailure(StorageFailureKind.WriteFailed, path, 0, (error as Error).message);
            throw this.failure;
        }
    }
}

/** Rebuilds the log from the records of its file. */
class LogReplay {
    hard: Content["hard"] = { term: 0, votedFor: undefined };
    base: Base = { index: 0, term: 0 };
    entries: LogEntry[] = [];

    apply(record: LogRecordData): void {
        if (record.baseIndex !== undefined) {
            this.base = { index: record.baseIndex, term: record.baseTerm };
            this.entries = [];
        }
        if (record.term !== undefined) {
            this.hard = { term: record.term, votedFor: record.votedFor === "" ? undefined : record.votedFor };
        }
        if (record.truncateFrom !== undefined) {
            this.entries.length = Math.min(this.entries.length, Math.max(0, record.truncateFrom - this.base.index - 1));
        }
        this.entries.push(...record.entries);
    }

    /** A crash between saving the snapshot and the new log leaves a log that the snapshot has overtaken. */
    startAfter(snapshot: Snapshot): void {
        const lastIndex = this.base.index + this.entries.length;
        if (lastIndex < snapshot.index) {
            this.base = { index: snapshot.index, term: snapshot.term };
            this.entries = [];
        }
    }
}

function encodeBatch(batch: Batch): Buffer {
    const record = LogRecordData.fromPartial({
        term: batch.hard?.term,
        votedFor: batch.hard?.votedFor ?? "",
        truncateFrom: batch.truncateFrom,
        entries: batch.entries as LogEntry[],
    });
    return encodeRecord(LogRecordData.encode(record).finish());
}

function checkContinuity(path: string, replay: LogReplay, snapshot: Snapshot): void {
    const isJoined = replay.base.index <= snapshot.index;
    const isOrdered = replay.entries.every((entry, position) => entry.index === replay.base.index + 1 + position);
    if (!isJoined || !isOrdered) {
        throw new StorageFailure(StorageFailureKind.CorruptRecord, path, 0, "entries are missing");
    }
}

async function readIfPresent(path: string): Promise<Buffer | undefined> {
    try {
        return await readFile(path);
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "ENOENT") {
            return undefined;
        }
        throw error;
    }
}

async function cutTail(path: string, length: number): Promise<void> {
    const handle = await open(path, "r+");
    await handle.truncate(length);
    await handle.sync();
    await handle.close();
}
