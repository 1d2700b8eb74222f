import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { describe, expect, it } from "@jest/globals";

import { TargetRequestResult } from "../targets/target-request-result.js";
import { FakeTargetClient } from "../testing/fake-target-client.js";
import { ManualClock } from "../testing/manual-clock.js";
import { ClaimOutcome } from "./claim-outcome.js";
import { TargetClaimVerifier } from "./target-claim-verifier.js";

const clockOffsetMs = 500_000;

function createFixture() {
    const clock = new ManualClock();
    const client = new FakeTargetClient(clock, clockOffsetMs);
    const verifier = new TargetClaimVerifier(client, { read: () => 3, take: () => 4 }, clock);
    const records = [...buildTestFleet(300, { cpu: 1, memory: 1, gpu: 0 }).fleet.targets.values()];
    const [record] = records;
    if (record === undefined) {
        throw new TypeError("the test fleet has no target");
    }
    const verify = async (claim = record, isNew = false) => {
        const pending = verifier.verifyClaim(claim, isNew);
        await clock.runFor(400);
        return (await pending).outcome;
    };
    return { clock, client, verifier, records, record, verify };
}

describe("TargetClaimVerifier", () => {
    describe("answers", () => {
        it("confirms an incarnation that answers at the claimed address, without a lease or a discarded end", async () => {
            const { client, verify } = createFixture();
            expect(await verify()).toBe(ClaimOutcome.Confirmed);
            expect(client.renewals).toEqual([
                { leaseUntilMs: undefined, fencingToken: 3, lastSeen: 0, waitMs: 0 },
            ]);
        });

        // Requests for the incarnation before could be executed until the session of the new one had sent its first.
        it("fences the requests for the incarnation before once a new one has answered, and not for a false claim", async () => {
            const { client, record, verify } = createFixture();
            expect(await verify(record, true)).toBe(ClaimOutcome.Confirmed);
            expect(client.renewals.map(({ fencingToken }) => fencingToken)).toEqual([3, 4]);
            client.renewals.length = 0;
            expect(await verify({ ...record, incarnation: 1e300 }, true)).toBe(ClaimOutcome.Refuted);
            expect(client.renewals.map(({ fencingToken }) => fencingToken)).toEqual([3]);
        });

        it("refutes a claim if another incarnation or another target answers", async () => {
            const { client, record, verify } = createFixture();
            expect(await verify({ ...record, incarnation: 1e300 })).toBe(ClaimOutcome.Refuted);
            client.isResponding = false;
            client.unansweredResult = TargetRequestResult.WrongTarget;
            expect(await verify()).toBe(ClaimOutcome.Refuted);
        });

        it("confirms nothing without an answer", async () => {
            const { client, verify } = createFixture();
            client.isResponding = false;
            expect(await verify()).toBe(ClaimOutcome.Unanswered);
        });
    });

    describe("cost", () => {
        it("asks once about a claim that several heartbeats make at the same time", async () => {
            const { client, verifier, clock, record } = createFixture();
            const answers = Promise.all([verifier.verifyClaim(record), verifier.verifyClaim(record)]);
            await clock.runFor(400);
            expect((await answers).map(({ outcome }) => outcome)).toEqual([
                ClaimOutcome.Confirmed,
                ClaimOutcome.Confirmed,
            ]);
            expect(client.renewals).toHaveLength(1);
        });

        it("asks rarely about claims that go on without being confirmed", async () => {
            const { client, clock, records, verifier } = createFixture();
            client.isResponding = false;
            for (let second = 0; second < 60; second++) {
                records.forEach(record => void verifier.verifyClaim(record));
                await clock.runFor(1_000);
            }
            expect(client.renewals.length / records.length / 60).toBeLessThan(0.25);
        });

        it("confirms all targets of a fleet that register at the same time", async () => {
            const { clock, records, verifier } = createFixture();
            const answers = Promise.all(records.map(record => verifier.verifyClaim(record)));
            await clock.runFor(400);
            expect(new Set((await answers).map(({ outcome }) => outcome))).toEqual(new Set([ClaimOutcome.Confirmed]));
        });

        it("asks about a new claim beside many that are not confirmed", async () => {
            const { client, clock, records, record, verifier } = createFixture();
            client.isResponding = false;
            const others = records.filter(other => other !== record);
            for (let round = 0; round < 10; round++) {
                others.forEach(other => void verifier.verifyClaim(other));
                await clock.runFor(600);
            }
            client.isResponding = true;
            const answer = verifier.verifyClaim(record);
            await clock.runFor(400);
            expect((await answer).outcome).toBe(ClaimOutcome.Confirmed);
        });

        it("forgets failures once the claim is confirmed", async () => {
            const { client, clock, verify } = createFixture();
            client.isResponding = false;
            await verify();
            expect(await verify()).toBe(ClaimOutcome.Deferred);
            client.isResponding = true;
            await clock.runFor(500);
            expect(await verify()).toBe(ClaimOutcome.Confirmed);
            expect(await verify()).toBe(ClaimOutcome.Confirmed);
        });
    });
});
