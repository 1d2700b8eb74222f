// A heartbeat comes from another writer, whose service no configuration names, with the address of an executor at work.
import { Cluster } from "../lib/cluster.mjs";
import { ExecutorFleet } from "../lib/executor-fleet.mjs";
import { findDoubleRuns } from "../lib/find-double-runs.mjs";
import { runCase } from "../lib/run-case.mjs";
import { sendJson } from "../lib/send-json.mjs";
import { VmService } from "../lib/vm-service.mjs";

const executorCount = 3;
const taskMs = 6_000;
const jobId = "5c0e7a21d94b36f8";
const host = "books.example";
const ip = "127.0.0.1";
const capacity = { cpu: 32_000, memMb: 65_536, gpu: 0 };

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
    await Promise.all(Array.from({ length: executorCount }, (_, index) => startExecutor(index)));
    await sleep(4_000);
    await submitJob(record);
    const start = await waitForStart();
    await sleep(1_000);
    if (hasTrouble) {
        await sendForeignHeartbeat(record, start.id);
    }
    const endsAt = Date.now() + 20_000;
    while (Date.now() < endsAt) {
        const { status, body } = await callEntry("GET");
        record.note("state", { status, state: body?.state });
        if (body?.state === "completed") {
            break;
        }
        await sleep(500);
    }
    return findDoubleRuns(fleet.events);
}

async function waitForStart() {
    const endsAt = Date.now() + 10_000;
    while (Date.now() < endsAt) {
        const start = fleet.events.find(({ event }) => event === "start");
        if (start !== undefined) {
            return start;
        }
        await sleep(50);
    }
    throw new Error("the task did not start");
}

/** Sends a heartbeat as another writer does: well formed, but of a service that no configuration names. */
async function sendForeignHeartbeat(record, executorId) {
    const { port, id } = fleet.events.find(({ event, id: other }) => event === "listening" && other === executorId);
    const heartbeat = {
        service: "metrics-agent",
        address: `${ip}:${port}`,
        zone: "z0",
        version: "v1",
        slots: 1,
        state: "ready",
        coldLeftMs: 0,
        capacity: { cpu: 0, memMb: 0, gpu: 0 },
        labels: [],
        clockMs: 1_000,
        sequence: 1,
        born: Date.now() - 1_000,
    };
    const { status } = await sendJson(cluster.listControls()[0], "PUT", "/instances/agent-1", heartbeat);
    record.note("heartbeat of another writer", {
        at: id,
        status,
        service: heartbeat.service,
        address: heartbeat.address,
    });
}

function buildOptions(index) {
    const zone = `z${index % 3}`;
    return {
        machine: `m-${index}`,
        pool: "front-desk",
        zone,
        labels: ["a", `r${index % 3}-${Math.floor(index / 12)}`],
    };
}

async function startExecutor(index) {
    const { machine, pool, zone, labels } = buildOptions(index);
    const id = `i-${index}`;
    const port = 0;
    vmService.set(machine, { pool, state: "up", zone, labels, capacity, id });
    await fleet.start({
        id,
        pool,
        zone,
        machine,
        host: ip,
        port,
        controls: cluster.listControls(),
        capacity,
        labels,
    });
}

async function submitJob(record) {
    const job = {
        spec: JSON.stringify({ ms: [taskMs], cpu: [1_800] }),
        steps: [{ count: 1, cpu: 1_800, memMb: 2_500, estimateMs: taskMs }],
    };
    for (let attempt = 0; attempt < 20; attempt++) {
        const { status } = await callEntry("POST", job);
        record.note("job sent", { id: jobId, status });
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
    vmService?.stop();
    await fleet?.stop();
    await cluster?.stop();
});
