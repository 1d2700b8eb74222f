import type { HardState } from "@daisylock/core/raft/hard-state.js";
import type { LogEntry } from "@daisylock/core/raft/log-entry.js";
import type { Snapshot } from "@daisylock/core/raft/snapshot.js";

/** Persisted state that a keeper loads when it starts. */
interface StoredState {
    /** Id of the keeper, created with its storage; an empty storage gets a new one. */
    readonly id: string;
    readonly hard: HardState;
    readonly snapshot: Snapshot;
    /** Position of the log entry before the first of `entries`. */
    readonly base: { readonly index: number; readonly term: number };
    readonly entries: LogEntry[];
}

/** Raft state that must be durable before messages that depend on it are sent. */
interface LogBatch {
    readonly hard: HardState | undefined;
    /** Index from which entries on disk are replaced; `undefined` when none are. */
    readonly truncateFrom: number | undefined;
    readonly entries: readonly LogEntry[];
}

/** Durable storage of a keeper. */
export abstract class KeeperStorage {
    /**
     * Loads the stored state. Called once, before any write.
     * @returns the stored state
     * @throws StorageFailure when a file is corrupt
     */
    abstract load(): Promise<StoredState>;

    /**
     * Appends a batch to the log and waits until it is durable.
     * @param batch - the batch
     * @param handleProgress - called whenever the disk has finished a step
     * @throws StorageFailure when the batch may not be durable; the storage then refuses all later writes
     */
    abstract append(batch: LogBatch, handleProgress?: () => void): Promise<void>;

    /**
     * Saves a snapshot and replaces the log by a new one with the entries that remain.
     * @param snapshot - the snapshot
     * @param base - position of the log entry before the first that remains
     * @param batch - hard state and entries that remain
     * @param handleProgress - called whenever the disk has finished a step
     * @throws StorageFailure when the snapshot may not be durable; the storage then refuses all later writes
     */
    abstract saveSnapshot(
        snapshot: Snapshot,
        base: { readonly index: number; readonly term: number },
        batch: LogBatch,
        handleProgress?: () => void,
    ): Promise<void>;

    /** Closes the files. */
    abstract close(): Promise<void>;
}
