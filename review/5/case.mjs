// The machine of a pool's only executor is due for upkeep while a job that lasts runs there.
import { Cluster } from "../lib/cluster.mjs";
import { ExecutorFleet } from "../lib/executor-fleet.mjs";
import { runCase } from "../lib/run-case.mjs";
import { sendJson } from "../lib/send-json.mjs";
import { VmService } from "../lib/vm-service.mjs";

const jobId = "5c0e7a21d94b36f8";
const host = "books.example";
const ip = "127.0.0.1";
const capacity = { cpu: 32_000, memMb: 65_536, gpu: 0 };
const taskCount = 3;
const mayMiss = 1;
/** Machines in use and machines of the spare pool, which are off. One of the three is due: 0.33 of them. */
const usedMachines = ["m-0"];
const spareMachines = ["m-1", "m-2"];
const deadlineS = 20;
/** Time for which the job is observed after the order, milliseconds. */
const observedMs = 45_000;
/** A task that lasts has to run again: from 6 s after its last run, it may wait for 3 s. */
const maxWaitMs = 9_000;

const configuration = {
    version: 7,
    routes: [{
        name: "r-1",
        host,
        pathPrefix: "/roster/",
        kind: "non_idempotent",
        timeoutMs: 3_000,
        targetLatencyMs: 2_500,
        priority: 0,
        service: "front-desk",
        maxAttempts: 4,
        stretch: 2.2,
        public: true,
    }],
    services: [
        { name: "front-desk", enforcesCapacity: true, spare: false },
        { name: "admin-desk", enforcesCapacity: true, spare: true },
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [],
};

let cluster;
let fleet;
let vmService;
let executorCount = 0;

async function run(record, hasTrouble) {
    vmService = new VmService(record, {
        endExecutor: id => fleet.kill(id),
        startExecutor: (machine, pool) => pool === "admin-desk" ? undefined : startExecutor(machine, pool),
    });
    const vmAddress = await vmService.start(ip);
    cluster = new Cluster(record, { keeperCount: 3, entryCount: 1, vmAddress });
    fleet = new ExecutorFleet(record);
    await cluster.prepare();
    await cluster.startAll();
    for (const machine of usedMachines) {
        vmService.set(machine, {
            pool: "front-desk",
            state: "up",
            zone: "z0",
            labels: ["a", "r0-1"],
            capacity,
            id: "",
        });
        vmService.set(machine, { id: await startExecutor(machine, "front-desk") });
    }
    for (const machine of spareMachines) {
        vmService.set(machine, {
            pool: "admin-desk",
            state: "up",
            zone: "z1",
            labels: ["a", "r1-1"],
            capacity,
            id: "",
        });
    }
    if (await cluster.putConfiguration(configuration) === undefined) {
        throw new Error("no keeper accepted the configuration");
    }
    await sleep(4_000);
    await submitJob(record);
    await sleep(4_000);
    if (countRunning() < taskCount) {
        throw new Error("the tasks did not start");
    }
    const orderedAt = Date.now();
    if (hasTrouble) {
        await startWave(record);
    }
    while (Date.now() < orderedAt + observedMs) {
        await sleep(1_000);
        const wave = await sendJson(cluster.listControls()[0], "GET", "/wave-get/1");
        record.note("observed", {
            running: countRunning(),
            executors: fleet.children.size,
            wave: wave.body?.state ?? wave.status,
        });
    }
    return findWaiting();
}

/** Checks LOST: a task that lasts doesn't run again, though there is room for it. */
function findWaiting() {
    const now = Date.now();
    const last = new Map();
    fleet.events.filter(({ task }) => task !== undefined).forEach(event => last.set(event.task, event));
    return [...last.values()].filter(({ event, atMs }) => event === "end" && now - atMs > maxWaitMs).map(event => ({
        rule: "LOST",
        detail: "a task that lasts waits, though most of the room of its pool is free",
        task: event.task,
        endedHow: event.how,
        waitsForMs: now - event.atMs,
        running: countRunning(),
        executors: [...fleet.children.keys()],
    }));
}

function countRunning() {
    const running = new Set();
    for (const { event, task } of fleet.events) {
        if (event === "start") {
            running.add(task);
        }
        else if (event === "end") {
            running.delete(task);
        }
    }
    return running.size;
}

async function startWave(record) {
    const wave = { wave: 1, machines: usedMachines, deadlineS, cap: 1 };
    const { status } = await sendJson(cluster.listControls()[0], "POST", "/wave-start", wave);
    record.note("wave sent", { ...wave, status });
    if (status !== 200) {
        throw new Error("the wave was not accepted");
    }
}

async function startExecutor(machine, pool) {
    const id = `i-${executorCount++}`;
    const { zone, labels } = vmService.machines.get(machine);
    await fleet.start({
        id,
        pool,
        zone,
        machine,
        host: ip,
        port: 0,
        controls: cluster.listControls(),
        capacity,
        labels,
    });
    return id;
}

async function submitJob(record) {
    const job = {
        spec: JSON.stringify({ ms: [0], cpu: [2_600] }),
        steps: [{ count: taskCount, cpu: 2_600, memMb: 4_800, longRunning: true, mayMiss }],
    };
    for (let attempt = 0; attempt < 20; attempt++) {
        const headers = { host, "daisylock-request-deadline": "3000" };
        const { status } = await sendJson(cluster.listCallers()[0], "POST", `/roster/${jobId}`, job, {
            headers,
            timeoutMs: 3_000,
        });
        record.note("job sent", { id: jobId, status });
        if (status === 200) {
            return;
        }
        await sleep(500);
    }
    throw new Error("the job was not accepted");
}

function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

await runCase(import.meta.url, run, async () => {
    vmService?.stop();
    await fleet?.stop();
    await cluster?.stop();
});
