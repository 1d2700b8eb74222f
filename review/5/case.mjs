// Two executors crash, one after the other, each while the same task of a sound job that lasts runs on it.
import { Cluster } from "../lib/cluster.mjs";
import { ExecutorFleet } from "../lib/executor-fleet.mjs";
import { runCase } from "../lib/run-case.mjs";
import { sendJson } from "../lib/send-json.mjs";
import { VmService } from "../lib/vm-service.mjs";

const executorCount = 14;
/** Times after the starts of the task at which its executor crashes, milliseconds; two crashes are 0.14 of the executors. */
const crashAfterMs = (process.env.CRASH_AFTER_MS ?? "300,60").split(",").map(Number);
const crashCount = crashAfterMs.length;
const taskCount = 5;
/** Number of tasks of the step that may be unavailable as a result of the system's actions. */
const mayMiss = 1;
/** Time after the last crash for which the job is observed, milliseconds. */
const observedMs = 12_000;
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
    let crashes = 0;
    fleet.addListener(({ event, id, task }) => {
        const isFirstTask = task === `${jobId}.0.0.0`;
        if (event === "start" && isFirstTask && hasTrouble && crashes < crashCount) {
            setTimeout(() => void crashExecutor(id), crashAfterMs[crashes]);
            crashes += 1;
        }
    });
    await submitJob(record);
    const endsAt = Date.now() + crashAfterMs.reduce((sum, ms) => sum + ms, 0) + observedMs;
    const states = [];
    while (Date.now() < endsAt) {
        const { status, body } = await callEntry("GET");
        record.note("state", { status, state: body?.state });
        states.push(body?.state);
        await sleep(300);
    }
    if (crashes < crashCount && hasTrouble) {
        throw new Error(`only ${crashes} crashes`);
    }
    return findUnavailable(states);
}

/** Checks AVAIL: a stop ends a task at work on a sound executor, while `mayMiss` others were ended by such orders. */
function findUnavailable(states) {
    const ends = fleet.events.filter(({ event }) => event === "end");
    const stopped = ends.filter(({ how }) => how === "stopped");
    const failedEnds = ends.filter(({ how }) => how === "failed").length;
    return stopped.slice(mayMiss).map(({ id, task, run: number, atMs }, position) => ({
        rule: "AVAIL",
        detail: `a stop ended the task at work on a sound executor; ${
            position + mayMiss
        } others of its step were ended so before`,
        task,
        run: number,
        on: id,
        atMs,
        isRunningAgain: isRunningAgain(task, atMs),
        state: states.at(-1),
        failedEnds,
    })).filter(({ isRunningAgain: isBack }) => !isBack);
}

/** Tells whether a task was started again later. */
function isRunningAgain(task, atMs) {
    return fleet.events.some(event => event.event === "start" && event.task === task && event.atMs > atMs);
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

/** Ends an executor for good; the platform lists its machine as down from then on. */
async function crashExecutor(id) {
    await fleet.kill(id);
    vmService.set(id.replace("i-", "m-"), { state: "down", id: "" });
}

async function submitJob(record) {
    const job = {
        spec: JSON.stringify({ ms: [0], cpu: [2_600] }),
        steps: [{ count: taskCount, cpu: 2_600, memMb: 4_800, antiAffinity: 1, longRunning: true, mayMiss }],
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
