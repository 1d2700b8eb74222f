// Stand-in executor: one process for one executor. Settings come as JSON in argv[2]; events go to the parent process.
import { createHash } from "node:crypto";
import { createServer, request } from "node:http";

const {
    id,
    machine,
    service,
    zone,
    address,
    labels,
    capacity,
    controls,
    heartbeatMs,
    maxHoldMs,
    stopGraceMs,
    clockRate,
} = JSON
    .parse(process.argv[2]);
const born = Date.now();
const startedAt = performance.now();
const [host, port] = address.split(":");
const maxListedEnds = 500;
const restartMs = 200;

let fencingToken = 0;
let leaseEnd = 0;
let endCount = 0;
let sequence = 0;
let state = "ready";
let isShedding = false;
/** While it is cut off, nothing reaches it and nothing that it sends arrives; its runs go on. */
let isCut = false;
let nextControl = Number(process.argv[3] ?? 0);
/** Runs by task: run number, step needs, timer. */
const running = new Map();
/** Highest run of each task that was stopped or has ended here. */
const endedRuns = new Map();
let finished = [];
const waiters = new Set();

const readClock = () => Math.floor((performance.now() - startedAt) * clockRate);
const report = event => process.send?.({ ...event, executor: id, at: Date.now() });

function endRun(task, how) {
    const entry = running.get(task);
    if (entry === undefined) {
        return;
    }
    clearTimeout(entry.timer);
    running.delete(task);
    endedRuns.set(task, Math.max(entry.run, endedRuns.get(task) ?? 0));
    endCount += 1;
    finished.push([endCount, task, entry.run, how, ""]);
    report({ event: "end", task, run: entry.run, how });
    [...waiters].forEach(answer => answer());
}

function extendLease(expiresAtMs) {
    if (typeof expiresAtMs === "number") {
        leaseEnd = Math.max(leaseEnd, Math.min(expiresAtMs, readClock() + maxHoldMs));
    }
}

setInterval(() => {
    if (running.size > 0 && readClock() > leaseEnd) {
        [...running.keys()].forEach(task => endRun(task, "lapsed"));
    }
}, 20);

function readNeeds(spec, task) {
    const step = Number(task.split(".")[2]);
    return JSON.parse(spec).steps[step];
}

function start(body) {
    const { task, run, spec, expiresAtMs } = body;
    const needs = readNeeds(spec, task);
    if (running.get(task)?.run === run) {
        extendLease(expiresAtMs);
        return [200, {}];
    }
    if (run <= (endedRuns.get(task) ?? 0)) {
        extendLease(expiresAtMs);
        return [409, { reason: "old" }];
    }
    if (expiresAtMs <= readClock()) {
        return [409, { reason: "late" }];
    }
    if (isShedding) {
        return [503, {}];
    }
    const usedCpu = [...running.values()].reduce((sum, { cpu }) => sum + cpu, 0);
    if (usedCpu + needs.cpu > capacity.cpu) {
        extendLease(expiresAtMs);
        return [409, { reason: "room" }];
    }
    extendLease(expiresAtMs);
    const timer = needs.ms > 0 ? setTimeout(() => endRun(task, "done"), needs.ms) : undefined;
    running.set(task, { run, cpu: needs.cpu, timer, at: readClock(), ms: needs.ms });
    report({ event: "start", task, run });
    return [200, {}];
}

function stop({ task, run }) {
    const entry = running.get(task);
    if (entry?.run === run) {
        setTimeout(() => endRun(task, "stopped"), Math.min(50, stopGraceMs));
    }
    endedRuns.set(task, Math.max(run, endedRuns.get(task) ?? 0));
    return [200, {}];
}

function list() {
    const rows = [...running].map(([task, { run, at, ms }]) => {
        const percent = ms > 0
            ? Math.min(99, Math.floor(100 * (readClock() - at) / ms))
            : readClock() - at > restartMs
            ? 100
            : 0;
        return [task, run, "", percent, 0];
    });
    return { running: rows, finished: finished.slice(0, maxListedEnds) };
}

function hold({ expiresAtMs, lastSeen = 0, waitMs = 0 }, respond) {
    extendLease(expiresAtMs);
    finished = finished.filter(([number]) => number > lastSeen);
    if (finished.length > 0 || waitMs === 0) {
        respond(200, list());
        return;
    }
    const answer = () => {
        clearTimeout(timer);
        waiters.delete(answer);
        respond(200, list());
    };
    const timer = setTimeout(answer, waitMs);
    waiters.add(answer);
}

const server = createServer(async (incoming, response) => {
    const chunks = [];
    for await (const chunk of incoming) {
        chunks.push(chunk);
    }
    const respond = (status, content) => {
        if (isCut) {
            return;
        }
        const text = JSON.stringify({ clockMs: readClock(), born, ...content });
        response.writeHead(status, { "content-type": "application/json" });
        response.end(text);
    };
    if (isCut) {
        return;
    }
    if (incoming.url === "/health") {
        respond(200, {});
        return;
    }
    const expected = incoming.headers["daisylock-expected-instance"];
    if (expected !== undefined && expected !== id) {
        respond(421, {});
        return;
    }
    const body = JSON.parse(Buffer.concat(chunks).toString());
    if ((body.fencingToken ?? 0) < fencingToken) {
        respond(409, { reason: "fence" });
        return;
    }
    fencingToken = body.fencingToken ?? 0;
    if (incoming.url === "/run-start") {
        const [status, content] = start(body);
        const spec = createHash("sha256").update(body.spec).digest("hex").slice(0, 16);
        report({ event: "order", task: body.task, run: body.run, status, reason: content.reason, spec });
        respond(status, content);
    }
    else if (incoming.url === "/run-stop") {
        const [status, content] = stop(body);
        respond(status, content);
    }
    else if (incoming.url === "/pace") {
        respond(200, {});
    }
    else {
        hold(body, respond);
    }
});
server.keepAliveTimeout = 60_000;
server.listen(Number(port), host, () => {
    report({ event: "listening", born });
    beat();
    setInterval(beat, heartbeatMs);
});

function beat(attempt = 0) {
    if (isCut || attempt >= controls.length) {
        return;
    }
    if (attempt === 0) {
        sequence += 1;
    }
    const control = controls[nextControl % controls.length];
    const [controlHost, controlPort] = control.split(":");
    const body = JSON.stringify({
        service,
        address,
        zone,
        version: "v1",
        slots: 8,
        state,
        coldLeftMs: 0,
        capacity,
        labels,
        clockMs: readClock(),
        sequence,
        born,
        machine,
    });
    let isOver = false;
    const fail = () => {
        if (!isOver) {
            isOver = true;
            nextControl += 1;
            beat(attempt + 1);
        }
    };
    const call = request({
        host: controlHost,
        port: Number(controlPort),
        method: "PUT",
        path: `/instances/${id}`,
        headers: { "content-type": "application/json", "content-length": Buffer.byteLength(body) },
        timeout: 1_000,
    }, response => {
        response.resume();
        response.on("end", () => {
            if (response.statusCode >= 200 && response.statusCode < 300) {
                isOver = true;
            }
            else {
                fail();
            }
        });
    });
    call.on("timeout", () => call.destroy());
    call.on("error", fail);
    call.end(body);
}

process.on("message", message => {
    isCut = message.cut ?? isCut;
    if (message.shed !== undefined) {
        isShedding = message.shed;
    }
});
process.on("disconnect", () => process.exit(0));
