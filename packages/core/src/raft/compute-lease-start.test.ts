import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import { computeLeaseStart } from "./compute-lease-start.js";
import type { RaftState } from "./raft-state.js";

const now = 1_000;

function createState(isVoter: boolean, ackedAt: readonly number[]): RaftState {
    const ids = ackedAt.map((_, position) => `k${position + 1}`);
    const voters = Object.fromEntries([...(isVoter ? ["k0"] : []), ...ids].map(id => [id, id]));
    const peers = new Map(ids.map((id, position) => [id, { ackedSentAt: ackedAt[position] ?? -1 }]));
    return { id: "k0", members: { voters, learners: {} }, peers } as Partial<RaftState> as RaftState;
}

describe("computeLeaseStart", () => {
    it("is the latest time that a majority of the voters, with the leader, has acknowledged", () => {
        fc.assert(fc.property(fc.array(fc.integer({ min: -1, max: now }), { maxLength: 7 }), ackedAt => {
            const latestFirst = [now, ...ackedAt].sort((a, b) => b - a);
            const majority = Math.floor(latestFirst.length / 2);
            expect(computeLeaseStart(createState(true, ackedAt), now)).toBe(latestFirst[majority]);
        }));
    });

    it("does not exist for a leader that is no voter", () => {
        expect(computeLeaseStart(createState(false, [900, 900, 900]), now)).toBe(-1);
    });
});
