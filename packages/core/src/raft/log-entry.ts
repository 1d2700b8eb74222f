import type { LogEntryKind } from "./log-entry-kind.js";

/** One entry of the replicated log. */
export interface LogEntry {
    readonly index: number;
    /** Term of the leader that appended the entry. */
    readonly term: number;
    readonly kind: LogEntryKind;
    /** JSON of a command or of members; empty for a no-op. */
    readonly payload: string;
}
