import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";

import { FakePlatform } from "../platform/fake-platform.js";
import { buildSmallTestbed } from "./build-small-testbed.js";

const platformAddress = "127.0.0.1:22900";
const testbed = buildSmallTestbed({
    firstPort: 22_000,
    settings: {
        platform: { address: platformAddress, token: "test-platform-token" },
        maintenance: { return_ms: 4_000, probation_ms: 200 },
    },
});
const { cluster } = testbed;
const platform = new FakePlatform({
    address: platformAddress,
    rebootMs: 300,
    stopVm: async vm => testbed.findTarget(vm)?.stop(),
    startVm: async vm => testbed.findTarget(vm)?.startAgain(),
});

interface WaveState {
    readonly id: string;
    readonly status: string;
    readonly pauseReason?: string;
    readonly counts: Record<string, number>;
    readonly vms: { vm: string; step: string }[];
}

async function readWave(id: string): Promise<WaveState | undefined> {
    const waves = (await cluster.sendApiRequest("GET", "/v1/waves"))?.body["waves"] as WaveState[] | undefined;
    return waves?.find(wave => wave.id === id);
}

const countUnavailable = (wave: WaveState | undefined) =>
    wave?.vms.filter(({ step }) => ["draining", "rebooting", "failed"].includes(step)).length ?? 0;

beforeAll(async () => {
    await platform.start();
    await testbed.start();
}, 60_000);
afterAll(async () => {
    await testbed.stop();
    platform.stop();
}, 30_000);

describe("a maintenance wave", () => {
    it("reboots every VM once within the budget despite a killed leader and lost platform responses", async () => {
        platform.responsesToDrop = 3;
        const started = await cluster.sendApiRequest("POST", "/v1/waves", { waveId: "first" });
        expect(started?.status).toBe(200);
        let maxUnavailable = 0;
        let isLeaderKilled = false;
        await cluster.waitUntil("the first wave is done", async () => {
            const wave = await readWave("first");
            maxUnavailable = Math.max(maxUnavailable, countUnavailable(wave));
            if (!isLeaderKilled && (wave?.counts["done"] ?? 0) >= 2) {
                isLeaderKilled = true;
                const leader = await cluster.findLeader();
                await cluster.sendSignal(leader, "SIGKILL");
                cluster.startProcess(leader);
            }
            return wave?.status === "done";
        }, 55_000);
        expect(isLeaderKilled).toBe(true);
        expect(maxUnavailable).toBe(1);
        expect([...platform.rebootCounts.values()]).toEqual(testbed.targets.map(() => 1));
    });

    it("is refused when it overlaps with another wave, and the refusal names that wave", async () => {
        await cluster.sendApiRequest("POST", "/v1/waves", { waveId: "second", vms: ["front-a1"] });
        const refused = await cluster.sendApiRequest("POST", "/v1/waves", {
            waveId: "third",
            vms: ["front-a1", "front-b1"],
        });
        expect(refused).toMatchObject({ status: 409, body: { outcome: "overlap", winner: "second" } });
        await cluster.waitUntil("the second wave is done", async () => (await readWave("second"))?.status === "done");
    });

    it("counts a VM that does not come back against the budget, even after an operator gives it up", async () => {
        platform.lostVms.add("front-b1");
        await cluster.sendApiRequest("POST", "/v1/waves", { waveId: "fourth", vms: ["front-b1", "front-c1"] });
        await cluster.waitUntil(
            "the lost VM counts as failed",
            async () => (await readWave("fourth"))?.counts["failed"] === 1,
        );
        expect((await readWave("fourth"))?.counts["waiting"]).toBe(1);
        await cluster.sendApiRequest("POST", "/v1/waves/fourth", { action: "give-up", vm: "front-b1" });
        // The VM is still down and uses up the budget of one, so the other VM has to wait until it is back.
        expect(countUnavailable(await readWave("fourth"))).toBe(0);
        platform.lostVms.delete("front-b1");
        await testbed.findTarget("front-b1")?.startAgain();
        await cluster.waitUntil("the fourth wave is done", async () => (await readWave("fourth"))?.status === "done");
    });
});
