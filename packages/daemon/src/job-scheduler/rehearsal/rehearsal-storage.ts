import type { Members } from "@daisylock/core/raft/members.js";

import { KeeperStorage } from "../../request-proxy/keeper/storage/keeper-storage.js";

/** Storage of a keeper in a rehearsal: it keeps nothing and takes no time. */
export class RehearsalStorage extends KeeperStorage {
    /**
     * @param id - id of the keeper
     * @param members - the members that the keeper knows at its start
     */
    constructor(private readonly id: string, private readonly members: Members) {
        super();
    }

    override async load() {
        const { id, members } = this;
        return {
            id,
            hard: { term: 0, votedFor: undefined },
            snapshot: { index: 0, term: 0, members, data: "" },
            base: { index: 0, term: 0 },
            entries: [],
        };
    }

    override async append(): Promise<void> {
        // Nothing is kept.
    }

    override async saveSnapshot(): Promise<void> {
        // Nothing is kept.
    }

    override async close(): Promise<void> {
        // No files are open.
    }
}
