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

const inForceSamples = 40;
const concurrentChanges = 64;
const throughputWindowMs = 5_000;
const firstPort = 29_000;

/**
 * Measures how changes of the tables fare with real processes: rate, time until in force everywhere, leader kills,
 * revocation in a cut-off zone, and recovery.
 * @param keepers - number of keepers
 * @param daemonFile - file of the daemon
 * @returns the figures
 */
export async function measureControlPlane(keepers: 3 | 5, daemonFile: string): Promise<ControlPlaneResult> {
    const site = buildSmallTestbed({ firstPort, keepers, folder: join(tmpdir(), "daisylock-control"), daemonFile });
    await site.start();
    try {
        const sequential = await measureChangeRate(site, 1);
        const grouped = await measureChangeRate(site, concurrentChanges);
        const inForceMs = await measureInForce(site);
        const throughKillMs = await measureThroughKill(site);
        const revocationMs = await measureRevocation(site);
        const recoveryMs = await measureRecovery(site);
        return { keepers, sequential, grouped, inForceMs, throughKillMs, revocationMs, recoveryMs };
    }
    finally {
        await site.stop();
    }
}

function buildEdit(number: number): TableEdit {
    const value = { share: 1, upperLimit: number, isolatedService: "refuse" };
    return { kind: "team", name: `team-${number % 50}`, value } as TableEdit;
}

/** With one change at a time each needs a write of its own; many at a time share writes. */
async function measureChangeRate(site: Testbed, concurrency: number): Promise<number> {
    const leader = await site.cluster.findLeader();
    let accepted = 0;
    const endsAt = performance.now() + throughputWindowMs;
    await Promise.all(Array.from({ length: concurrency }, async () => {
        while (performance.now() < endsAt) {
            const change = { changeId: randomUUID(), edits: [buildEdit(accepted)] };
            const answer = await site.cluster.sendApiRequest("POST", "/v1/changes", change, leader);
            accepted += answer?.status === 200 ? 1 : 0;
        }
    }));
    return accepted / (throughputWindowMs / 1_000);
}

/** Time from sending a change until every entry has confirmed it to the leader. */
async function measureInForce(site: Testbed): Promise<ReturnType<typeof computePercentiles>> {
    const times: number[] = [];
    for (let number = 0; number < inForceSamples; number++) {
        const startedAt = performance.now();
        const changeId = randomUUID();
        await site.cluster.sendApiRequest("POST", "/v1/changes", { changeId, edits: [buildEdit(number)] });
        await waitUntilInForce(site, changeId);
        times.push(performance.now() - startedAt);
    }
    return computePercentiles(times);
}

async function waitUntilInForce(site: Testbed, changeId: string): Promise<void> {
    await site.cluster.waitUntil("the change in force", async () => {
        const answer = await site.cluster.sendApiRequest("GET", `/v1/changes/${changeId}`);
        const inForce = answer?.body["inForce"] as { everywhere: boolean; zones: object } | undefined;
        return inForce?.everywhere === true && Object.keys(inForce.zones).length > 0;
    });
}

/** Time from sending a change at the moment the leader is killed until the entries that are left have it. */
async function measureThroughKill(site: Testbed): Promise<number[]> {
    const times: number[] = [];
    for (let round = 0; round < 3; round++) {
        const leader = await site.cluster.findLeader();
        const startedAt = performance.now();
        const killed = site.cluster.sendSignal(leader, "SIGKILL");
        await site.cluster.sendChange([buildEdit(round)]);
        times.push(performance.now() - startedAt);
        await killed;
        site.cluster.startProcess(leader);
        await site.cluster.waitUntil("the old leader is back", async () => {
            const status = (await site.cluster.sendApiRequest("GET", "/v1/status"))?.body;
            return ((status?.["entries"] ?? []) as unknown[]).length === site.cluster.plan.processes.length;
        });
    }
    return times;
}

/** Time from the acceptance of a revocation until the key stops working in a zone that was cut off just before. */
async function measureRevocation(site: Testbed): Promise<number[]> {
    const times: number[] = [];
    for (let round = 0; round < 3; round++) {
        const name = `revoked-${round}`;
        const key = await site.cluster.createKey(name, "spas");
        const entry = site.cluster.findProcess("c2").callers;
        const send = () => sendCallerRequest({ entry, route: "book", key });
        await site.cluster.waitUntil("the key works", async () => (await send()).status === 200);
        site.cluster.setLinkState(LinkState.Cut, "c");
        await site.cluster.sendChange([{ kind: "key", name } as TableEdit]);
        const revokedAt = performance.now();
        await site.cluster.waitUntil("the key stops working", async () => (await send()).status !== 200);
        times.push(performance.now() - revokedAt);
        site.cluster.setLinkState(LinkState.Open, "c");
    }
    return times;
}

/** Time from starting a killed keeper until its process answers with all of its changes. */
async function measureRecovery(site: Testbed): Promise<number> {
    const leader = await site.cluster.findLeader();
    const keeper = site.cluster.plan.processes.find(process => process.isKeeper && process.name !== leader)?.name ?? "";
    await site.cluster.sendSignal(keeper, "SIGKILL");
    const startedAt = performance.now();
    site.cluster.startProcess(keeper);
    const { peers } = site.cluster.findProcess(keeper);
    await site.cluster.waitUntil("the keeper has caught up", async () => {
        const own = await site.cluster.sendApiRequest("GET", "/v1/process", undefined, keeper);
        const keepers = (await site.cluster.sendApiRequest("GET", "/v1/keepers"))?.body["keepers"];
        const row = ((keepers ?? []) as { address: string; lag: number }[]).find(({ address }) => address === peers);
        return own?.body["role"] === "follower" && row?.lag === 0;
    });
    return performance.now() - startedAt;
}
