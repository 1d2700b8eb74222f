import { LogEntryKind } from "@daisylock/core/raft/log-entry-kind.js";
import { describe, expect, it } from "@jest/globals";

import { PendingProposals } from "./pending-proposals.js";
import { ProposeFailureKind } from "./propose-failure-kind.js";

describe("PendingProposals", () => {
    it("settles a proposal whose index is proposed again in a later term", () => {
        const proposals = new PendingProposals();
        const failures: (ProposeFailureKind | undefined)[] = [];
        const add = (index: number, term: number) =>
            proposals.add(index, term, result => failures.push(result.isErr ? result.error.kind : undefined));
        add(10, 3);
        add(10, 5);
        expect(failures).toEqual([ProposeFailureKind.Unknown]);
        proposals.settle({ index: 10, term: 5, kind: LogEntryKind.Command, payload: "{}" }, 5, true);
        expect(failures).toEqual([ProposeFailureKind.Unknown, undefined]);
    });
});
