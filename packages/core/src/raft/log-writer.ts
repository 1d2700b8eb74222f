import type { LogEntry } from "./log-entry.js";
import { RaftMessageKind } from "./raft-message-kind.js";
import type { RaftMessage } from "./raft-message.js";
import { RaftRole } from "./raft-role.js";
import type { RaftState } from "./raft-state.js";
import { readLastIndex } from "./read-last-index.js";
import { updateCommitIndex } from "./update-commit-index.js";

/** What one write makes durable. */
interface LogWrite {
    /** Term and vote; `undefined` when they have not changed. */
    readonly hard: RaftState["hard"] | undefined;
    /** A new snapshot, with which the log is written anew from `base` on; `undefined` for a write at the end of the log. */
    readonly snapshot: RaftState["snapshot"] | undefined;
    readonly base: RaftState["base"];
    /** Index from which the stored log is replaced; `undefined` when no entries are written. */
    readonly truncateFrom: number | undefined;
    readonly entries: readonly LogEntry[];
}

/** A write that has begun. */
interface WriteUnderWay {
    /** Index up to which the log is durable after it, unless entries are replaced meanwhile. */
    readonly lastIndex: number;
    readonly hasHardState: boolean;
    /** Messages that must not be sent before it is done. */
    readonly messages: readonly RaftMessage[];
}

/**
 * Decides what a keeper writes next and which messages wait for it, so that the keeper goes on while it writes. One write
 * is under way at a time. A leader's appends wait for no write, as it counts itself towards a quorum only once its own
 * is done (Ongaro's thesis, 10.2.1); all other messages wait for the write that covers what they promise.
 */
export class LogWriter {
    private underWay: WriteUnderWay | undefined;

    /**
     * @param state - Raft state of the keeper
     */
    constructor(private readonly state: RaftState) {}

    /**
     * Tells whether a write is under way.
     * @returns true from `startWrite` to `confirmWrite`
     */
    isWriting(): boolean {
        return this.underWay !== undefined;
    }

    /**
     * Takes the messages that may be sent at once.
     * @returns the appends of a leader whose term is durable; all messages while there is nothing to write
     */
    takeReadyMessages(): RaftMessage[] {
        const { state } = this;
        const isHardStateDurable = !state.isHardStateUnpersisted && this.underWay?.hasHardState !== true;
        const isReady = (message: RaftMessage): boolean =>
            this.underWay === undefined && this.isPersisted()
            || message.kind === RaftMessageKind.Append && state.role === RaftRole.Leader && isHardStateDurable;
        const ready = state.outbox.filter(isReady);
        state.outbox = state.outbox.filter(message => !isReady(message));
        return ready;
    }

    /**
     * Begins the next write. It covers all changes so far, and the messages in the outbox wait for it.
     * @returns what to write; `undefined` while a write is under way or nothing has changed
     */
    startWrite(): LogWrite | undefined {
        const { state } = this;
        if (this.underWay !== undefined || this.isPersisted()) {
            return undefined;
        }
        const first = state.firstUnpersistedIndex;
        const isSnapshot = state.isSnapshotUnpersisted;
        const write: LogWrite = {
            hard: isSnapshot || state.isHardStateUnpersisted ? state.hard : undefined,
            snapshot: isSnapshot ? state.snapshot : undefined,
            base: state.base,
            truncateFrom: isSnapshot ? undefined : first,
            entries: isSnapshot || first !== undefined
                ? state.entries.slice(isSnapshot ? 0 : (first ?? 0) - state.base.index - 1)
                : [],
        };
        this.underWay = {
            lastIndex: readLastIndex(state),
            hasHardState: state.isHardStateUnpersisted,
            messages: state.outbox,
        };
        state.outbox = [];
        state.isHardStateUnpersisted = false;
        state.isSnapshotUnpersisted = false;
        state.firstUnpersistedIndex = undefined;
        return write;
    }

    /**
     * Records that the write under way is durable. On the leader this may advance the commit index.
     * @returns the messages that have waited for it
     */
    confirmWrite(): readonly RaftMessage[] {
        const { state, underWay } = this;
        if (underWay === undefined) {
            return [];
        }
        this.underWay = undefined;
        // Entries that were replaced meanwhile are not durable.
        const firstMissing = state.firstUnpersistedIndex ?? readLastIndex(state) + 1;
        state.persistedIndex = Math.max(state.persistedIndex, Math.min(underWay.lastIndex, firstMissing - 1));
        if (state.role === RaftRole.Leader) {
            updateCommitIndex(state);
        }
        return underWay.messages;
    }

    private isPersisted(): boolean {
        const { isHardStateUnpersisted, isSnapshotUnpersisted, firstUnpersistedIndex } = this.state;
        return !isHardStateUnpersisted && !isSnapshotUnpersisted && firstUnpersistedIndex === undefined;
    }
}
