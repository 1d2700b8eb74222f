import type { Members } from "./members.js";

/** The applied state up to an index, which replaces the log before it. */
export interface Snapshot {
    readonly index: number;
    readonly term: number;
    readonly members: Members;
    readonly data: string;
}
