// A stand-in for an executor, as a process of its own: runs tasks under a lease, lists their ends, and sends heartbeats.
// Argument: options as JSON. Sends what starts, ends and is taken note of to its parent process.
//
// The spec of a job is JSON: { "ms": [duration of each step], "cpu": [thousandths of a core of a task of each step] }. With
// "closesAtMs", a Unix time, and "count", its tasks instead wait until then and end one after the other, "everyMs" apart,
// in an order of their own. A duration of 0 is that of a task that lasts: it is at work until it is stopped.
import { createServer } from "node:http";

import { sendJson } from "./send-json.mjs";

const options = JSON.parse(process.argv[2]);
const { id, pool, zone, machine, host, port, controls, capacity, labels } = options;
const maxHoldMs = 6_000;
const heartbeatIntervalMs = 1_500;
/** Number of ends in one response. */
const maxListedEnds = 500;
const born = Date.now();
const startedAt = performance.now();

const running = new Map();
/** The highest run of each task that ended or was stopped here. */
const lastRuns = new Map();
let ends = [];
let endCount = 0;
let fencingToken = 0;
let leaseUntilMs = 0;
let leaseTimer;
let sequence = 0;
let usedCpu = 0;
let waiting = [];

const readClock = () => Math.floor(performance.now() - startedAt);
const report = (event, fields) => process.send?.({ event, id, atMs: Date.now(), ...fields });

function extendLease(untilMs) {
    if (untilMs === undefined) {
        return;
    }
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, readClock() + maxHoldMs));
    clearTimeout(leaseTimer);
    leaseTimer = setTimeout(handleLeaseEnd, Math.max(0, leaseUntilMs - readClock()));
}

function handleLeaseEnd() {
    if (running.size > 0) {
        report("lease over", { running: running.size });
    }
    [...running.keys()].forEach(task => endRun(task, "lapsed"));
}

function endRun(task, how) {
    const entry = running.get(task);
    running.delete(task);
    clearTimeout(entry.timer);
    usedCpu -= entry.cpu;
    lastRuns.set(task, Math.max(entry.run, lastRuns.get(task) ?? 0));
    endCount += 1;
    ends.push([endCount, task, entry.run, how, ""]);
    report("end", { number: endCount, task, run: entry.run, how });
    waiting.splice(0).forEach(answer => answer());
}

function startRun({ task, run, spec, expiresAtMs }) {
    if (running.get(task)?.run === run) {
        extendLease(expiresAtMs);
        return undefined;
    }
    if (expiresAtMs <= readClock()) {
        return "late";
    }
    extendLease(expiresAtMs);
    if (run <= (lastRuns.get(task) ?? 0) || running.has(task)) {
        return "old";
    }
    const step = Number(task.split(".")[2]);
    const content = JSON.parse(spec);
    const cpu = content.cpu[step] ?? 0;
    if (usedCpu + cpu > capacity.cpu) {
        return "room";
    }
    usedCpu += cpu;
    const durationMs = computeDurationMs(content, step, Number(task.split(".")[3]));
    const timer = durationMs === 0 ? undefined : setTimeout(() => endRun(task, "done"), durationMs);
    running.set(task, { run, cpu, at: readClock(), durationMs, timer });
    report("start", { task, run });
    return undefined;
}

function computeDurationMs({ ms, closesAtMs, everyMs = 0, count = 1 }, step, index) {
    const position = index * 7_919 % count;
    return closesAtMs === undefined ? ms[step] : Math.max(1, closesAtMs + position * everyMs - Date.now());
}

function stopRun({ task, run }) {
    lastRuns.set(task, Math.max(run, lastRuns.get(task) ?? 0));
    if (running.get(task)?.run === run) {
        endRun(task, "stopped");
    }
}

function sendReply(response, status, content) {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify({ clockMs: readClock(), born, ...content }));
}

function sendLists(response) {
    const rows = [...running].map(([task, { run, at, durationMs, cpu }]) => [
        task,
        run,
        "",
        durationMs === 0 ? 100 : Math.min(99, Math.floor(100 * (readClock() - at) / durationMs)),
        cpu,
    ]);
    sendReply(response, 200, { running: rows, finished: ends.slice(0, maxListedEnds) });
}

function serveHold(body, response) {
    extendLease(body.expiresAtMs);
    const noted = ends.filter(([number]) => number <= body.lastSeen);
    if (noted.length > 0) {
        ends = ends.filter(([number]) => number > body.lastSeen);
        report("taken note of", { ends: noted.map(([number, task, run, how]) => [number, task, run, how]) });
    }
    if (ends.length > 0 || !(body.waitMs > 0)) {
        sendLists(response);
        return;
    }
    const answer = () => {
        clearTimeout(timer);
        waiting = waiting.filter(other => other !== answer);
        sendLists(response);
    };
    const timer = setTimeout(answer, Math.min(body.waitMs, 2_000));
    waiting.push(answer);
}

const server = createServer(async (request, response) => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    const body = JSON.parse(Buffer.concat(chunks).toString() || "{}");
    if (request.headers["daisylock-expected-instance"] !== id) {
        sendReply(response, 421, {});
        return;
    }
    if ((body.fencingToken ?? 0) < fencingToken) {
        sendReply(response, 409, { reason: "fence" });
        return;
    }
    fencingToken = body.fencingToken ?? 0;
    switch (request.url) {
        case "/run-start": {
            const reason = startRun(body);
            sendReply(response, reason === undefined ? 200 : 409, reason === undefined ? {} : { reason });
            return;
        }
        case "/run-stop":
            stopRun(body);
            sendReply(response, 200, {});
            return;
        case "/hold":
            serveHold(body, response);
            return;
        default:
            sendReply(response, request.url === "/pace" ? 200 : 404, {});
    }
});
server.keepAliveTimeout = 60_000;

async function sendHeartbeat() {
    sequence += 1;
    const heartbeat = {
        service: pool,
        address: options.address ?? `${host}:${server.address().port}`,
        zone,
        version: "v1",
        slots: 8,
        state: "ready",
        coldLeftMs: 0,
        capacity,
        labels,
        clockMs: readClock(),
        sequence,
        born,
        machine,
    };
    for (let attempt = 0; attempt < controls.length; attempt++) {
        const control = controls[(sequence + attempt) % controls.length];
        const { status } = await sendJson(control, "PUT", `/instances/${id}`, heartbeat, { timeoutMs: 1_000 });
        if (status >= 200 && status < 300) {
            return;
        }
    }
}

server.listen(port, host, () => {
    report("listening", { born, port: server.address().port });
    void sendHeartbeat();
    setInterval(() => void sendHeartbeat(), heartbeatIntervalMs);
});
process.on("disconnect", () => process.exit(0));
