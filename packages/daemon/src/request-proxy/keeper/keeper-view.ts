import type { Members } from "@daisylock/core/raft/members.js";
import type { RaftRole } from "@daisylock/core/raft/raft-role.js";

/** What other parts of the process may know of the keeper. */
export interface KeeperView {
    readonly id: string;
    readonly role: RaftRole;
    readonly term: number;
    readonly leader: string | undefined;
    readonly leaderAddress: string | undefined;
    readonly members: Members;
    readonly commitIndex: number;
    readonly lastIndex: number;
    /** Newest index that each peer has; for the leader only. */
    readonly matchIndexes: Readonly<Record<string, number>>;
    /** Milliseconds since each peer last answered; for the leader only. */
    readonly silentMs: Readonly<Record<string, number>>;
    /** When this keeper became leader, monotonic milliseconds. */
    readonly ledSince: number;
}
