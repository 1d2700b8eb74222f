import type { LogEntry } from "@daisylock/core/raft/log-entry.js";
import { SnapshotContent } from "@daisylock/core/raft/snapshot-content.js";
import type { Snapshot } from "@daisylock/core/raft/snapshot.js";
import { LogRecordData } from "@daisylock/protocol/generated/log.js";
import { randomBytes } from "node:crypto";
import { type FileHandle, mkdir, open, readFile, rename, writeFile } from "node:fs/promises";
import { join } from "node:path";

import { decodeRecords } from "./decode-records.js";
import { encodeRecord } from "./encode-record.js";
import { KeeperStorage } from "./keeper-storage.js";
import { StorageFailureKind } from "./storage-failure-kind.js";
import { StorageFailure } from "./storage-failure.js";

type StoredState = Awaited<ReturnType<KeeperStorage["load"]>>;
type LogBatch = Parameters<KeeperStorage["append"]>[0];
type LogBase = StoredState["base"];

/** First record of a snapshot; the parts of its data follow, one record each. */
interface SnapshotHeader extends Omit<Snapshot, "data"> {
    /** Number of these records; absent in snapshots of earlier releases, which hold their data in `data`. */
    readonly partCount?: number;
    readonly data?: string;
}

const emptySnapshot: Snapshot = {
    index: 0,
    term: 0,
    members: { voters: {}, learners: {} },
    data: SnapshotContent.empty,
};

/** Stores identity, snapshot and log of a keeper as files in one folder. */
export class FileKeeperStorage extends KeeperStorage {
    private logFile: FileHandle | undefined;
    private failure: StorageFailure | undefined;

    /**
     * @param folder - path of the data folder
     * @param processName - name of the process, with which the id of a new keeper begins
     */
    constructor(private readonly folder: string, private readonly processName: string) {
        super();
    }

    override async load(): Promise<StoredState> {
        await mkdir(this.folder, { recursive: true });
        const id = await this.loadIdentity();
        const snapshot = await this.loadSnapshot();
        const content = await this.loadLog(id, snapshot);
        this.logFile = await open(this.buildPath("log"), "a");
        await this.syncFolder();
        return content;
    }

    override async append(batch: LogBatch, handleProgress: () => void = dropProgress): Promise<void> {
        await this.writeUnlessFailed("log", async () => {
            await this.logFile?.appendFile(encodeBatch(batch));
            handleProgress();
            await this.logFile?.datasync();
        });
    }

    override async saveSnapshot(
        snapshot: Snapshot,
        base: LogBase,
        batch: LogBatch,
        handleProgress: () => void = dropProgress,
    ): Promise<void> {
        await this.writeUnlessFailed("snapshot", async () => {
            await this.writeFile("snapshot", encodeSnapshot(snapshot), handleProgress);
            const previous = this.logFile;
            const header = encodeRecord(
                LogRecordData.encode(LogRecordData.fromPartial({ baseIndex: base.index, baseTerm: base.term }))
                    .finish(),
            );
            await this.writeFile("log", [header, encodeBatch(batch)], handleProgress);
            this.logFile = await open(this.buildPath("log"), "a");
            handleProgress();
            await previous?.close();
        });
    }

    override async close(): Promise<void> {
        const log = this.logFile;
        this.logFile = undefined;
        await log?.close();
    }

    private buildPath(file: string): string {
        return join(this.folder, file);
    }

    private async loadIdentity(): Promise<string> {
        const path = this.buildPath("identity");
        const content = await readIfPresent(path);
        if (content === undefined) {
            const id = `${this.processName}.${randomBytes(4).toString("hex")}`;
            await this.writeFile("identity", [encodeRecord(Buffer.from(id))]);
            return id;
        }
        const [payload] = decodeRecords(path, content).payloads;
        if (payload === undefined) {
            throw new StorageFailure(StorageFailureKind.CorruptIdentity, path, 0, "file holds no complete record");
        }
        return payload.toString();
    }

    private async loadSnapshot(): Promise<Snapshot> {
        const path = this.buildPath("snapshot");
        const content = await readIfPresent(path);
        if (content === undefined) {
            return emptySnapshot;
        }
        const [first, ...parts] = decodeRecords(path, content).payloads;
        if (first === undefined) {
            throw new StorageFailure(StorageFailureKind.CorruptSnapshot, path, 0, "file holds no complete record");
        }
        const { partCount, data, ...position } = JSON.parse(first.toString()) as SnapshotHeader;
        if (partCount !== undefined && partCount !== parts.length) {
            throw new StorageFailure(StorageFailureKind.CorruptSnapshot, path, 0, "records are missing");
        }
        return {
            ...position,
            data: data === undefined ? SnapshotContent.restore(parts) : SnapshotContent.encode([data]),
        };
    }

    private async loadLog(id: string, snapshot: Snapshot): Promise<StoredState> {
        const path = this.buildPath("log");
        const content = await readIfPresent(path) ?? Buffer.alloc(0);
        const { payloads, validBytes } = decodeRecords(path, content);
        if (validBytes < content.length) {
            await dropTornTail(path, validBytes);
        }
        const replay = new LogReplay();
        for (const payload of payloads) {
            replay.apply(LogRecordData.decode(payload));
        }
        replay.dropOutdated(snapshot);
        checkContinuity(path, replay, snapshot);
        return { id, snapshot, hard: replay.hard, base: replay.base, entries: replay.entries };
    }

    /** Writes and syncs a temporary file, then renames it, so that a crash leaves either the old or the new file intact. */
    private async writeFile(
        file: string,
        content: Iterable<Buffer>,
        handleProgress: () => void = dropProgress,
    ): Promise<void> {
        const path = this.buildPath(file);
        const handle = await open(`${path}.new`, "w");
        await writeFile(handle, reportProgress(content, handleProgress));
        handleProgress();
        await handle.sync();
        handleProgress();
        await handle.close();
        handleProgress();
        await rename(`${path}.new`, path);
        await this.syncFolder(handleProgress);
    }

    private async syncFolder(handleProgress: () => void = dropProgress): Promise<void> {
        const folder = await open(this.folder, "r");
        handleProgress();
        await folder.sync();
        handleProgress();
        await folder.close();
    }

    /** Refuses all writes after a failed one: the page cache may then report data as written that is not on disk. */
    private async writeUnlessFailed(file: string, write: () => Promise<void>): Promise<void> {
        if (this.failure !== undefined) {
            throw this.failure;
        }
        try {
            await write();
        }
        catch (error) {
            const path = this.buildPath(file);
            this.failure = new StorageFailure(StorageFailureKind.WriteFailed, path, 0, (error as Error).message);
            throw this.failure;
        }
    }
}

/** Rebuilds the log by replaying the records of its file. */
class LogReplay {
    hard: StoredState["hard"] = { term: 0, votedFor: undefined };
    base: LogBase = { index: 0, term: 0 };
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
        for (const entry of record.entries) {
            this.entries.push(entry);
        }
    }

    /** Drops a log that ends before the snapshot. A crash between writing the snapshot and the new log leaves one. */
    dropOutdated(snapshot: Snapshot): void {
        const lastIndex = this.base.index + this.entries.length;
        if (lastIndex < snapshot.index) {
            this.base = { index: snapshot.index, term: snapshot.term };
            this.entries = [];
        }
    }
}

function dropProgress(): void {
    // Nobody waits for a step.
}

/** Each part is taken when the one before it is written. */
function* reportProgress(content: Iterable<Buffer>, handleProgress: () => void): Generator<Buffer> {
    for (const part of content) {
        handleProgress();
        yield part;
    }
}

/** Encodes one record at a time, so that the records of a large snapshot are not in memory together. */
function* encodeSnapshot({ data, ...position }: Snapshot): Generator<Buffer> {
    const parts = data.listBuffers();
    const header: SnapshotHeader = { ...position, partCount: parts.length };
    yield encodeRecord(Buffer.from(JSON.stringify(header)));
    for (const part of parts) {
        yield encodeRecord(part);
    }
}

function encodeBatch(batch: LogBatch): Buffer {
    const record = LogRecordData.fromPartial({
        term: batch.hard?.term,
        votedFor: batch.hard?.votedFor ?? "",
        truncateFrom: batch.truncateFrom,
        entries: batch.entries as LogEntry[],
    });
    return encodeRecord(LogRecordData.encode(record).finish());
}

function checkContinuity(path: string, replay: LogReplay, snapshot: Snapshot): void {
    const isSnapshotContiguous = replay.base.index <= snapshot.index;
    const isLogContiguous = replay.entries.every((entry, position) => entry.index === replay.base.index + 1 + position);
    if (!isSnapshotContiguous || !isLogContiguous) {
        throw new StorageFailure(StorageFailureKind.CorruptRecord, path, 0, "log entries are missing or out of order");
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

async function dropTornTail(path: string, length: number): Promise<void> {
    const handle = await open(path, "r+");
    await handle.truncate(length);
    await handle.sync();
    await handle.close();
}
