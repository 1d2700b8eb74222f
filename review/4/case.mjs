// An executor is cut off for a short time, under its lease, while more than a thousand short tasks end on it.
import { Cluster } from "../lib/cluster.mjs";
import { ExecutorFleet } from "../lib/executor-fleet.mjs";
import { findDoubleRuns } from "../lib/find-double-runs.mjs";
import { runCase } from "../lib/run-case.mjs";
import { sendJson } from "../lib/send-json.mjs";
import { TcpCut } from "../lib/tcp-cut.mjs";
import { VmService } from "../lib/vm-service.mjs";

/** Length of the cut, milliseconds: shorter than a lease, so that everything runs on. */
const cutMs = 3_500;
/** Time for the start of all tasks, milliseconds; they end one after the other from then on. */
const startMs = 22_000;
const endIntervalMs = 1.2;
const taskCount = 3_000;
const taskCpu = 10;
const jobId = "5c0e7a21d94b36f8";
const host = "books.example";
const ip = "127.0.0.1";
const capacity = { cpu: 32_000, memMb: 65_536, gpu: 0 };
/** One of six executors is cut off, 0.17 of them; the label sends the job there. */
const executorCount = 6;
const label = "b";

const configuration = {
    version: 7,
    routes: [{
        name: "r-1",
        host,
        pathPrefix: "/roster/",
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
let fleet;
let vmService;
let links = [];

async function run(record, hasTrouble) {
    vmService = new VmService(record);
    const vmAddress = await vmService.start(ip);
    cluster = new Cluster(record, { keeperCount: 3, entryCount: 1, vmAddress });
    fleet = new ExecutorFleet(record);
    await cluster.prepare();
    await cluster.startAll();
    if (await cluster.putConfiguration(configuration) === undefined) {
        throw new Error("no keeper accepted the configuration");
    }
    await startExecutors();
    await sleep(3_000);
    const starts = [];
    let completedAt;
    fleet.addListener(({ event, atMs }) => event === "start" && starts.push(atMs));
    const closesAtMs = Date.now() + startMs;
    await submitJob(record, closesAtMs);
    while (starts.length < taskCount && Date.now() < closesAtMs - 300) {
        await sleep(20);
    }
    record.note("tasks started", { count: starts.length, inMs: starts.at(-1) - starts[0] });
    if (starts.length < taskCount) {
        throw new Error("the tasks did not start in time");
    }
    // The cut begins shortly before the first task ends.
    await sleep(Math.max(0, closesAtMs - 200 - Date.now()));
    record.note(hasTrouble ? "cut begins" : "no cut");
    links.forEach(link => link.setCut(hasTrouble));
    await sleep(cutMs);
    links.forEach(link => link.setCut(false));
    record.note("cut over", { ended: fleet.events.filter(({ event }) => event === "end").length });
    const endsAt = Date.now() + 25_000;
    while (Date.now() < endsAt && completedAt === undefined) {
        const { status, body } = await callEntry("GET");
        record.note("state", { status, state: body?.state });
        completedAt = body?.state === "completed" ? Date.now() : undefined;
        await sleep(500);
    }
    await sleep(2_000);
    const breaks = findDoubleRuns(fleet.events);
    record.note("checked", { breaks: breaks.length });
    return breaks.slice(0, 20);
}

/** Starts the executors: the first behind a link of its own to each keeper, and a link from them to it. */
async function startExecutors() {
    const inward = new TcpCut(ip, ip, 0);
    const inwardPort = await inward.start();
    const outward = await Promise.all(
        cluster.listControls().map(async control => {
            const [controlHost, controlPort] = control.split(":");
            const link = new TcpCut(ip, controlHost, Number(controlPort));
            return { link, address: `${ip}:${await link.start()}` };
        }),
    );
    links = [inward, ...outward.map(({ link }) => link)];
    const { port } = await startExecutor(0, {
        address: `${ip}:${inwardPort}`,
        controls: outward.map(({ address }) => address),
        labels: [label, "r0-0"],
    });
    inward.targetPort = port;
    for (let index = 1; index < executorCount; index++) {
        await startExecutor(index, { controls: cluster.listControls(), labels: ["a", `r${index % 3}-0`] });
    }
}

function startExecutor(index, options) {
    const [id, machine, pool, zone] = [`i-${index}`, `m-${index}`, "front-desk", `z${index % 3}`];
    vmService.set(machine, { pool, state: "up", zone, labels: options.labels, capacity, id });
    return fleet.start({ id, pool, zone, machine, host: ip, port: 0, capacity, ...options });
}

async function submitJob(record, closesAtMs) {
    const job = {
        spec: JSON.stringify({ closesAtMs, everyMs: endIntervalMs, count: taskCount, cpu: [taskCpu] }),
        steps: [{ count: taskCount, cpu: taskCpu, memMb: 20, estimateMs: startMs, requiredLabel: label }],
    };
    for (let attempt = 0; attempt < 20; attempt++) {
        const { status } = await callEntry("POST", job);
        record.note("job sent", { id: jobId, tasks: taskCount, status });
        if (status === 200) {
            return;
        }
        await sleep(500);
    }
    throw new Error("the job was not accepted");
}

function callEntry(method, body) {
    const headers = { host, "daisylock-request-deadline": "3000" };
    return sendJson(cluster.listCallers()[0], method, `/roster/${jobId}`, body, { headers, timeoutMs: 3_000 });
}

function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

await runCase(import.meta.url, run, async () => {
    links.forEach(link => link.stop());
    vmService?.stop();
    await fleet?.stop();
    await cluster?.stop();
});
