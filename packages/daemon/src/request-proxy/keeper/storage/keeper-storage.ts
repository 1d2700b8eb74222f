import type { HardState } from "@daisylock/core/raft/hard-state.js";
import type { LogEntry } from "@daisylock/core/raft/log-entry.js";
import type { Snapshot } from "@daisylock/core/raft/snapshot.js";

/** What a keeper finds on its disk. */
interface StoredState {
    /** Id of the disk; a new disk has a new one. */
    readonly id: string;
    readonly hard: HardState;
    readonly snapshot: Snapshot;
    readonly base: { readonly index: number; readonly term: number };
    readonly entries: LogEntry[];
}

/** One batch of what has to last before messages may go out. */
interface LogBatch {
    readonly hard: HardState | undefined;
    /** Index from which older entries on disk are replaced. */
    readonly truncateFrom: number | undefined;
    readonly entries: readonly LogEntry[];
}

/** Durable storage of a keeper. */
export abstract class KeeperStorage {
    /**
     * Loads everything, once, before any write.
     * @returns the content
     * @throws StorageFailure when it is damaged
     */
    abstract load(): Promise<StoredState>;

    /**
     * Appends a batch and waits until it lasts.
     * @param batch - the batch
     * @throws StorageFailure when it may not last; the disk is then unusable
     */
    abstract append(batch: LogBatch): Promise<void>;

    /**
     * Saves a snapshot and starts a new log file with the entries that remain.
     * @param snapshot - the snapshot
     * @param base - entry before the first that remains
     * @param batch - hard state and entries that remain
     * @throws StorageFailure when it may not last
     */
    abstract saveSnapshot(
        snapshot: Snapshot,
        base: { readonly index: number; readonly term: number },
        batch: LogBatch,
    ): Promise<void>;

    /** Closes the files. */
    abstract close(): Promise<void>;
}
