import type { Members } from "@daisylock/core/raft/members.js";
import type { RaftRole } from "@daisylock/core/raft/raft-role.js";

/** State of a keeper that other components of the process may read. */
export interface KeeperView {
    readonly id: string;
    readonly role: RaftRole;
    readonly term: number;
    readonly leader: string | undefined;
    readonly leaderAddress: string | undefined;
    readonly members: Members;
    readonly commitIndex: number;
    readonly lastIndex: number;
    /** Index of the last log entry that each peer is known to hold; empty unless this keeper leads. */
    readonly matchIndexes: Readonly<Record<string, number>>;
    /** Milliseconds since the last request that each peer has acknowledged was sent; empty unless this keeper leads. */
    readonly silentMs: Readonly<Record<string, number>>;
    /** Time at which this keeper last became leader, monotonic milliseconds; 0 if it has not led since it started. */
    readonly ledSince: number;
}
