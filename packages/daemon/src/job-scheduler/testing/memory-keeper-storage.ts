import type { Members } from "@daisylock/core/raft/members.js";
import { SnapshotContent } from "@daisylock/core/raft/snapshot-content.js";

import { KeeperStorage } from "../../request-proxy/keeper/storage/keeper-storage.js";

const writeMs = 2;

/** Storage that starts empty, keeps nothing and takes 2 ms for each write. */
export class MemoryKeeperStorage extends KeeperStorage {
    /** Payload of the entries kept with each snapshot, characters. */
    readonly retainedCharacters: number[] = [];

    /**
     * @param id - id of the keeper
     * @param members - the members that the keeper knows at its start
     */
    constructor(
        private readonly id: string,
        private readonly members: Members = { voters: {}, learners: {} },
    ) {
        super();
    }

    override async load() {
        const { members } = this;
        return {
            id: this.id,
            hard: { term: 0, votedFor: undefined },
            snapshot: { index: 0, term: 0, members, data: SnapshotContent.empty },
            base: { index: 0, term: 0 },
            entries: [],
        };
    }

    override async append(): Promise<void> {
        await new Promise(resolve => setTimeout(resolve, writeMs));
    }

    override async saveSnapshot(...[, , { entries }]: Parameters<KeeperStorage["saveSnapshot"]>): Promise<void> {
        this.retainedCharacters.push(entries.reduce((sum, { payload }) => sum + payload.length, 0));
        await this.append();
    }

    override async close(): Promise<void> {
        // No files are open.
    }
}
