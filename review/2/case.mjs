// A keeper is replaced as planned; seconds later another loses its disk right after it has acknowledged a configuration.
import { Cluster } from "../lib/cluster.mjs";
import { runCase } from "../lib/run-case.mjs";
import { sendJson } from "../lib/send-json.mjs";

/** Time from the start of the new keeper until the old one is stopped, milliseconds; `catchUpS` is 4 s. */
const handOverMs = 5_000;
/** Time from the end of the old keeper until the loss of the disk, milliseconds. */
const afterHandOverMs = 1_500;
/** Time until the deployment runs in a steady state, milliseconds; the sites' traffic starts 12 s after the machines do. */
const settleMs = 12_000;
const darkMs = 3_000;
/** `recoveryS` and `contactMs` of the sites, milliseconds. */
const recoveryMs = 12_000;
const contactMs = 3_000;
const marginMs = 10_000;

const configuration = {
    version: 7,
    routes: [{
        name: "r-1",
        host: "books.example",
        pathPrefix: "/hold/",
        kind: "non_idempotent",
        timeoutMs: 3_000,
        targetLatencyMs: 600,
        priority: 0,
        service: "front-desk",
        maxAttempts: 2,
        stretch: 1.6,
        public: true,
    }],
    services: [{ name: "front-desk", enforcesCapacity: true, spare: false }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [],
};

let cluster;

async function run(record, hasTrouble) {
    cluster = new Cluster(record, { keeperCount: 3, entryCount: 1 });
    await cluster.prepare();
    await cluster.startAll();
    const controls = cluster.listControls();
    if (await cluster.putConfiguration(configuration) === undefined) {
        throw new Error("no keeper accepted the configuration");
    }
    await sleep(settleMs);
    // The planned replacement: the new machine first, with an empty disk and an address of its own, then SIGTERM.
    const leader = await cluster.findLeader();
    const leaving = [0, 1, 2].find(index => index !== leader);
    const added = 3;
    record.note("replacement", { leader, leaving, added });
    cluster.startKeeper(added, false);
    await sleep(handOverMs);
    await cluster.terminate(`keeper-${leaving}`);
    await sleep(afterHandOverMs);
    const staying = controls.filter((_, index) => index !== leaving).concat(cluster.buildControl(added));
    const newest = { ...configuration, version: 9 };
    const acknowledged = await cluster.putConfiguration(newest, { controls: [controls[leader]], pauseMs: 50 });
    if (acknowledged === undefined) {
        throw new Error("the change was not acknowledged");
    }
    if (hasTrouble) {
        await cluster.kill(`keeper-${leader}`);
        cluster.wipe(leader);
    }
    await sleep(darkMs);
    if (hasTrouble) {
        cluster.startKeeper(leader, false);
    }
    const backAt = Date.now();
    await sleep(recoveryMs);
    // The operator reads the configuration again and again, at all nodes.
    const seen = new Map();
    while (Date.now() < backAt + recoveryMs + contactMs + marginMs) {
        for (const address of staying) {
            const { status, body } = await sendJson(address, "GET", "/config");
            record.note("read", { address, status, version: body?.version, error: body?.error });
            if (status === 200) {
                return body.version === newest.version ? [] : [{ read: body.version }];
            }
            seen.set(status, (seen.get(status) ?? 0) + 1);
        }
        await sleep(300);
    }
    return [{
        rule: "LOST",
        detail: `configuration ${newest.version} was acknowledged and is read back nowhere`,
        statuses: Object.fromEntries(seen),
        sinceAllAreBackMs: Date.now() - backAt,
    }];
}

function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

await runCase(import.meta.url, run, async () => cluster?.stop());
