import type { Members } from "./members.js";

/** The applied state at an index, which replaces the log entries up to it. */
export interface Snapshot {
    readonly index: number;
    readonly term: number;
    readonly members: Members;
    /** Encoded application state. */
    readonly data: string;
}
