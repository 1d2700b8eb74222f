import type { Members } from "./members.js";
import type { SnapshotContent } from "./snapshot-content.js";

/** The applied state at an index, which replaces the log entries up to it. */
export interface Snapshot {
    /** Index of the last entry that the snapshot replaces. */
    readonly index: number;
    /** Term of that entry. */
    readonly term: number;
    /** Members at that index. */
    readonly members: Members;
    /** Encoded application state. */
    readonly data: SnapshotContent;
}
