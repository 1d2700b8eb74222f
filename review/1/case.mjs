// Many scheduled jobs are handed in at once, each due every minute for a week.
import { Cluster } from "../lib/cluster.mjs";
import { ExecutorFleet } from "../lib/executor-fleet.mjs";
import { runCase } from "../lib/run-case.mjs";
import { sendJson } from "../lib/send-json.mjs";
import { VmService } from "../lib/vm-service.mjs";

const executorCount = 3;
/** Number of scheduled jobs, and of the occurrences of each: one a minute for a week. */
const scheduledCount = Number(process.env.JOBS ?? 150);
const occurrences = Number(process.env.TIMES ?? 10_080);
const minuteMs = 60_000;
/** Pause between two jobs, milliseconds; the site's clients send up to 15 jobs a second. */
const pauseMs = 70;
/** Time after which no more jobs are sent, milliseconds. */
const maxSendMs = 35_000;
/** Time after the last job until the accepted jobs are asked for, milliseconds; `recoveryS` is 12 s, `finish_s` 14 s. */
const settleMs = 14_000;
const askedMs = 25_000;
const restartDelayMs = 500;
const firstId = "5c0e7a21d94b36f8";
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
    cluster = new Cluster(record, { keeperCount: 3, entryCount: 1, vmAddress, restartDelayMs });
    fleet = new ExecutorFleet(record);
    await cluster.prepare();
    await cluster.startAll();
    if (await cluster.putConfiguration(configuration) === undefined) {
        throw new Error("no keeper accepted the configuration");
    }
    await Promise.all(Array.from({ length: executorCount }, (_, index) => startExecutor(index)));
    await sleep(4_000);
    if ((await submit(firstId, buildJob(0))) !== 200) {
        throw new Error("the first job was not accepted");
    }
    record.note("job accepted", { id: firstId });
    await sleep(2_000);
    const accepted = [firstId];
    const sendUntil = Date.now() + maxSendMs;
    for (let index = 0; index < scheduledCount && Date.now() < sendUntil; index++) {
        const id = (0x1000 + index).toString(16).padStart(16, "0");
        const status = await submit(id, buildJob(hasTrouble ? occurrences : 8));
        record.note("scheduled job sent", { id, times: hasTrouble ? occurrences : 8, status });
        if (status === 200) {
            accepted.push(id);
        }
        await sleep(pauseMs);
    }
    record.note("jobs accepted", { count: accepted.length, ownEnds: cluster.ownEnds.length });
    await sleep(settleMs);
    return askForJobs(record, accepted);
}

function buildJob(times) {
    return {
        spec: JSON.stringify({ ms: [700], cpu: [2_600] }),
        steps: [{ count: 1, cpu: 2_600, memMb: 4_800, estimateMs: 700 }],
        ...times === 0 ? {} : { times, startAtMs: Date.now() + minuteMs, intervalMs: minuteMs },
    };
}

/** Asks for the first job and the configuration until each is answered; a client asks again at another node. */
async function askForJobs(record, accepted) {
    const endsAt = Date.now() + askedMs;
    const statuses = [];
    while (Date.now() < endsAt) {
        const headers = { host, "daisylock-request-deadline": "3000" };
        const job = await sendJson(cluster.listCallers()[0], "GET", `/roster/${firstId}`, undefined, {
            headers,
            timeoutMs: 3_000,
        });
        const reads = await Promise.all(cluster.listControls().map(address => sendJson(address, "GET", "/config")));
        record.note("asked", { job: job.status, state: job.body?.state, config: reads.map(({ status }) => status) });
        statuses.push(job.status, ...reads.map(({ status }) => status));
        await sleep(500);
    }
    const ownEnds = cluster.ownEnds.length;
    return statuses.includes(200) ? [] : [{
        rule: "LOST",
        detail: "accepted jobs and the configuration are asked for and get no answer",
        accepted: accepted.length,
        asked: statuses.length,
        processesEndedByThemselves: ownEnds,
        signals: [...new Set(cluster.ownEnds.map(({ signal }) => signal))],
    }];
}

async function submit(id, job) {
    const headers = { host, "daisylock-request-deadline": "3000" };
    const { status } = await sendJson(cluster.listCallers()[0], "POST", `/roster/${id}`, job, {
        headers,
        timeoutMs: 3_000,
    });
    return status;
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

function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

await runCase(import.meta.url, run, async () => {
    vmService?.stop();
    await fleet?.stop();
    await cluster?.stop();
});
