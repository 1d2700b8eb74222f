import type { TableEdit } from "@daisylock/core/tables/table-edit.js";
import { randomUUID } from "node:crypto";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { sendCallerRequest } from "../callers/send-caller-request.js";
import { LinkState } from "../cluster/link-state.js";
import { buildSmallTestbed } from "../testbed/build-small-testbed.js";
import type { Testbed } from "../testbed/testbed.js";
import { computePercentiles } from "./compute-percentiles.js";
import type { ControlPlaneResult } from "./control-plane-result.js";

const applySampleCount = 40;
const concurrentChanges = 64;
const throughputWindowMs = 5_000;
const firstPort = 29_000;

/**
 * Measures table changes on a local cluster of real processes: the change rate, the time until every entry has applied
 * a change, changes while the leader is killed, revocation of a key in a partitioned zone, and recovery of a keeper.
 * @param keepers - number of keepers (control-plane replicas)
 * @param daemonFile - path of the daemon's JavaScript file
 * @returns the measurements
 */
export async function measureControlPlane(keepers: 3 | 5, daemonFile: string): Promise<ControlPlaneResult> {
    const testbed = buildSmallTestbed({ firstPort, keepers, folder: join(tmpdir(), "daisylock-control"), daemonFile });
    await testbed.start();
    try {
        const sequential = await measureChangeRate(testbed, 1);
        const grouped = await measureChangeRate(testbed, concurrentChanges);
        const inForceMs = await measureApplyTimes(testbed);
        const throughKillMs = await measureLeaderKill(testbed);
        const revocationMs = await measureRevocation(testbed);
        const recoveryMs = await measureRecovery(testbed);
        return { keepers, sequential, grouped, inForceMs, throughKillMs, revocationMs, recoveryMs };
    }
    finally {
        await testbed.stop();
    }
}

function buildEdit(number: number): TableEdit {
    const value = { share: 1, upperLimit: number, isolatedService: "refuse" };
    return { kind: "team", name: `team-${number % 50}`, value } as TableEdit;
}

/** Measures accepted changes per second. Sequential changes need one log write each; concurrent ones share writes. */
async function measureChangeRate(testbed: Testbed, concurrency: number): Promise<number> {
    const leader = await testbed.cluster.findLeader();
    let accepted = 0;
    const endsAt = performance.now() + throughputWindowMs;
    await Promise.all(Array.from({ length: concurrency }, async () => {
        while (performance.now() < endsAt) {
            const change = { changeId: randomUUID(), edits: [buildEdit(accepted)] };
            const response = await testbed.cluster.sendApiRequest("POST", "/v1/changes", change, leader);
            accepted += response?.status === 200 ? 1 : 0;
        }
    }));
    return accepted / (throughputWindowMs / 1_000);
}

/** Measures the time from sending a change until every entry has confirmed to the leader that it applied the change. */
async function measureApplyTimes(testbed: Testbed): Promise<ReturnType<typeof computePercentiles>> {
    const times: number[] = [];
    for (let number = 0; number < applySampleCount; number++) {
        const startedAt = performance.now();
        const changeId = randomUUID();
        await testbed.cluster.sendApiRequest("POST", "/v1/changes", { changeId, edits: [buildEdit(number)] });
        await waitUntilApplied(testbed, changeId);
        times.push(performance.now() - startedAt);
    }
    return computePercentiles(times);
}

async function waitUntilApplied(testbed: Testbed, changeId: string): Promise<void> {
    await testbed.cluster.waitUntil("confirmation of the change by every entry", async () => {
        const response = await testbed.cluster.sendApiRequest("GET", `/v1/changes/${changeId}`);
        const inForce = response?.body["inForce"] as { everywhere: boolean; zones: object } | undefined;
        return inForce?.everywhere === true && Object.keys(inForce.zones).length > 0;
    });
}

/** Measures the time from killing the leader until a change that is sent at that moment is accepted. */
async function measureLeaderKill(testbed: Testbed): Promise<number[]> {
    const times: number[] = [];
    for (let round = 0; round < 3; round++) {
        const leader = await testbed.cluster.findLeader();
        const startedAt = performance.now();
        const exited = testbed.cluster.sendSignal(leader, "SIGKILL");
        await testbed.cluster.sendChange([buildEdit(round)]);
        times.push(performance.now() - startedAt);
        await exited;
        testbed.cluster.startProcess(leader);
        await testbed.cluster.waitUntil("restart of the killed leader", async () => {
            const status = (await testbed.cluster.sendApiRequest("GET", "/v1/status"))?.body;
            return ((status?.["entries"] ?? []) as unknown[]).length === testbed.cluster.plan.processes.length;
        });
    }
    return times;
}

/** Measures the time from the acceptance of a revocation until a zone, partitioned just before, refuses the key. */
async function measureRevocation(testbed: Testbed): Promise<number[]> {
    const times: number[] = [];
    for (let round = 0; round < 3; round++) {
        const name = `revoked-${round}`;
        const key = await testbed.cluster.createKey(name, "spas");
        const entry = testbed.cluster.findProcess("c2").callers;
        const send = () => sendCallerRequest({ entry, route: "book", key });
        await testbed.cluster.waitUntil("acceptance of the key", async () => (await send()).status === 200);
        testbed.cluster.setLinkState(LinkState.Cut, "c");
        await testbed.cluster.sendChange([{ kind: "key", name } as TableEdit]);
        const revokedAt = performance.now();
        await testbed.cluster.waitUntil("refusal of the revoked key", async () => (await send()).status !== 200);
        times.push(performance.now() - revokedAt);
        testbed.cluster.setLinkState(LinkState.Open, "c");
    }
    return times;
}

/** Measures the time from restarting a killed keeper until it is a follower without replication lag. */
async function measureRecovery(testbed: Testbed): Promise<number> {
    const leader = await testbed.cluster.findLeader();
    const keeper = testbed.cluster.plan.processes.find(process => process.isKeeper && process.name !== leader)?.name
        ?? "";
    await testbed.cluster.sendSignal(keeper, "SIGKILL");
    const startedAt = performance.now();
    testbed.cluster.startProcess(keeper);
    const { peers } = testbed.cluster.findProcess(keeper);
    await testbed.cluster.waitUntil("catch-up of the restarted keeper", async () => {
        const processStatus = await testbed.cluster.sendApiRequest("GET", "/v1/process", undefined, keeper);
        const keepers = (await testbed.cluster.sendApiRequest("GET", "/v1/keepers"))?.body["keepers"];
        const keeperStatus = ((keepers ?? []) as { address: string; lag: number }[]).find(({ address }) =>
            address === peers
        );
        return processStatus?.body["role"] === "follower" && keeperStatus?.lag === 0;
    });
    return performance.now() - startedAt;
}
