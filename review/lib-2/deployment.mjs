// A small deployment on loopback addresses: the programs of the deploy file, started with its `run` lines, and stand-ins.
import { fork, spawn } from "node:child_process";
import { closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

const libFolder = dirname(fileURLToPath(import.meta.url));
const root = resolve(libFolder, "../..");
const zones = ["bole", "kazanchis", "piassa"];
/** Bounds of a small deployment, as in DEPLOY.md. */
export const bounds = { maxHoldMs: 6_000, stopGraceMs: 400, visibleMs: 3_000, contactMs: 3_000, statusS: 120 };
const heartbeatMs = 1_500;
/** Time after which the platform starts a process again that has ended, milliseconds. */
const nodeRestartMs = 500;

export const wait = ms => new Promise(done => setTimeout(done, ms));

/** Thrown when a case can't run; the script then exits with 2. */
export class NotRunnable extends Error {}

function readRunLine(role) {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const section = text.split(`[roles.${role}]`)[1]?.split("\n[")[0] ?? "";
    const line = /^run = "(.*)"$/m.exec(section)?.[1];
    if (line === undefined) {
        throw new NotRunnable(`the deploy file has no run line for ${role}`);
    }
    return line.split(" ");
}

function isFree(ip, port) {
    return new Promise(done => {
        const server = createServer();
        server.once("error", () => done(false));
        server.listen(port, ip, () => server.close(() => done(true)));
    });
}

/** Picks a part of the loopback network on which all ports of the deployment are free. */
async function pickNetwork(ports) {
    for (let attempt = 0; attempt < 50; attempt++) {
        const network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
        const checks = await Promise.all(
            Array.from({ length: 40 }, (_, host) => ports.map(port => isFree(`${network}.${host + 1}`, port))).flat(),
        );
        if (checks.every(Boolean)) {
            return network;
        }
    }
    throw new NotRunnable("no free loopback addresses");
}

const ports = {
    peers: 7_000,
    control: 8_340,
    front: 8_341,
    ready: 8_342,
    metrics: 9_464,
    executor: 8_400,
    cloud: 8_344,
};

/** Sends one HTTP request on a connection of its own; status 0 means that no answer came. */
export function send(address, method, path, { headers = {}, body, timeoutMs = 3_000 } = {}) {
    const [host, port] = address.split(":");
    return new Promise(done => {
        const bytes = body === undefined ? undefined : JSON.stringify(body);
        const call = request({
            host,
            port: Number(port),
            method,
            path,
            agent: false,
            headers: {
                ...headers,
                ...bytes === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": Buffer.byteLength(bytes) },
            },
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => {
                clearTimeout(timer);
                let content;
                try {
                    content = JSON.parse(Buffer.concat(chunks).toString());
                }
                catch {
                    content = undefined;
                }
                done({ status: response.statusCode, content });
            });
            response.on("error", () => done({ status: 0 }));
        });
        const timer = setTimeout(() => {
            call.destroy();
            done({ status: 0 });
        }, timeoutMs);
        call.on("error", () => {
            clearTimeout(timer);
            done({ status: 0 });
        });
        call.end(bytes);
    });
}

/** Reads a text by HTTP; empty if there is no answer. */
function readText(address, path) {
    const [host, port] = address.split(":");
    return new Promise(done => {
        const call = request({ host, port: Number(port), path, agent: false, timeout: 1_000 }, response => {
            let text = "";
            response.setEncoding("utf8");
            response.on("data", part => {
                text += part;
            });
            response.on("end", () => done(text));
        });
        call.on("timeout", () => call.destroy());
        call.on("error", () => done(""));
        call.end();
    });
}

export class Deployment {
    /** @param caseFolder - folder of the case, which gets record.txt */
    constructor(caseFolder) {
        this.recordFile = join(caseFolder, "record.txt");
        this.lines = [];
        this.startedAt = Date.now();
        this.folder = mkdtempSync(join(tmpdir(), "review-"));
        this.children = new Set();
        this.executors = new Map();
        this.handlers = [];
        this.cloudAddress = "";
        this.ownEnds = [];
        this.isStopping = false;
    }

    record(text) {
        this.lines.push(`${((Date.now() - this.startedAt) / 1_000).toFixed(3)} ${text}`);
    }

    /** Calls a function with each event of an executor. */
    onEvent(handler) {
        this.handlers.push(handler);
    }

    async pickAddresses() {
        this.network = await pickNetwork(Object.values(ports));
        this.cloudAddress = `${this.network}.39:${ports.cloud}`;
    }

    async start({ keeperCount = 3, entryCount = 2, hasCloud = false, configuration }) {
        if (this.network === undefined) {
            await this.pickAddresses();
        }
        this.keepers = Array.from({ length: keeperCount }, (_, n) => this.describe("keeper", n, n + 1, hasCloud));
        this.entries = Array.from(
            { length: entryCount },
            (_, n) => this.describe("entry", n, keeperCount + n + 1, hasCloud),
        );
        this.controls = this.keepers.map(({ ip }) => `${ip}:${ports.control}`);
        this.fronts = this.entries.map(({ ip }) => `${ip}:${ports.front}`);
        [...this.keepers, ...this.entries].forEach(node => this.startNode(node, true));
        const until = Date.now() + 20_000;
        for (let n = 0;; n++) {
            const { status } = await send(this.controls[n % keeperCount], "PUT", "/config", {
                body: configuration,
                timeoutMs: 1_000,
            });
            if (status === 200) {
                break;
            }
            if (Date.now() > until) {
                throw new NotRunnable("the configuration was not accepted within 20 s");
            }
            await wait(200);
        }
        this.record(`configuration ${configuration.version} acknowledged`);
        for (const { ip } of this.entries) {
            while ((await send(`${ip}:${ports.ready}`, "GET", "/ready", { timeoutMs: 1_000 })).status !== 200) {
                if (Date.now() > until) {
                    throw new NotRunnable("an entry was not ready within 20 s");
                }
                await wait(100);
            }
        }
    }

    describe(role, position, host, hasCloud) {
        return {
            role,
            name: `${role}-${zones[position % zones.length]}-${position + 1}`,
            zone: zones[position % zones.length],
            ip: `${this.network}.${host}`,
            hasCloud,
        };
    }

    /** Renders the settings as the platform does with deploy/settings.toml.template. */
    startNode(node, isBootstrap) {
        const { role, name, zone, ip, hasCloud } = node;
        const isKeeper = role === "keeper";
        const data = join(this.folder, name);
        mkdirSync(data, { recursive: true });
        const seeds = [1, 2, 3].map(host => `${this.network}.${host}:${ports.control}`);
        const values = new Map([
            ["node|json", JSON.stringify(name)],
            ["zone|json", JSON.stringify(zone)],
            ["dataDir", isKeeper ? data : ""],
            ["listenAddrs.front", isKeeper ? "" : `${ip}:${ports.front}`],
            ["listenAddrs.ready", isKeeper ? "" : `${ip}:${ports.ready}`],
            ["listenAddrs.control", isKeeper ? `${ip}:${ports.control}` : ""],
            ["ip", ip],
            ["portRange.0", String(ports.peers)],
            ["seeds|json", JSON.stringify(seeds)],
            ["bootstrap|json", String(isBootstrap)],
            ["faultTolerance.machines", "1"],
            ["cloudApi.address", hasCloud ? this.cloudAddress : ""],
            ["bounds.leaseMs", "3000"],
            ["bounds.upkeepS", "2"],
            ["bounds.moveS", "1.5"],
            ["advice", ""],
            ["bounds.maxHoldMs", String(bounds.maxHoldMs)],
            ["bounds.status_s", String(bounds.statusS)],
        ]);
        const template = readFileSync(join(root, "deploy/settings.toml.template"), "utf8");
        const text = template
            .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/g, (_, key, inner) => values.get(key) === "" ? "" : inner)
            .replace(/\{\{([\w.|]+)\}\}/g, (_, key) => {
                if (!values.has(key)) {
                    throw new NotRunnable(`no value for ${key} of the template`);
                }
                return values.get(key);
            });
        const file = join(this.folder, `${name}.toml`);
        writeFileSync(file, text);
        const output = openSync(join(this.folder, `${name}.log`), "a");
        const [program, ...args] = readRunLine(role);
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(program, args, {
            cwd: root,
            env: { PATH, HOME, LANG, DAISYLOCK_BOOT: file },
            stdio: ["ignore", output, output],
        });
        closeSync(output);
        node.child = child;
        this.track(child);
    }

    /** Records processes of the system that end by themselves, and starts them again as the platform does. */
    watchNodes() {
        for (const node of [...this.keepers, ...this.entries]) {
            this.watchNode(node);
        }
    }

    watchNode(node) {
        node.child.once("exit", (code, signal) => {
            if (this.isStopping) {
                return;
            }
            this.record(`${node.name} ended by itself: code ${code}, signal ${signal}`);
            this.ownEnds.push({ name: node.name, code, signal });
            setTimeout(() => {
                if (!this.isStopping) {
                    this.startNode(node, false);
                    this.watchNode(node);
                }
            }, nodeRestartMs);
        });
    }

    track(child) {
        this.children.add(child);
        child.once("exit", () => this.children.delete(child));
    }

    /** Starts a life of an executor; the options stay for its later lives. */
    startExecutor(options) {
        const { id, host, service, zone, machine = `m-${id}`, labels = ["a", "r1-1"], capacity, clockRate = 1 } =
            options;
        const settings = {
            id,
            machine,
            service,
            zone,
            labels,
            capacity,
            address: `${this.network}.${host}:${ports.executor}`,
            controls: this.controls,
            heartbeatMs,
            maxHoldMs: bounds.maxHoldMs,
            stopGraceMs: bounds.stopGraceMs,
            clockRate,
        };
        const child = fork(join(libFolder, "executor.mjs"), [JSON.stringify(settings), String(host)], {
            stdio: ["ignore", "ignore", "inherit", "ipc"],
        });
        this.track(child);
        this.executors.set(id, { options, child });
        child.on("message", event => {
            const { event: name, executor, at: _, ...fields } = event;
            this.record(`executor ${executor} ${name} ${JSON.stringify(fields)}`);
            this.handlers.forEach(handle => handle(event));
        });
    }

    /** Tells an executor how to behave: `shed` refuses starts, `cut` loses all that is sent to it or by it. */
    setExecutor(id, behaviour) {
        this.record(`executor ${id} ${JSON.stringify(behaviour)}`);
        this.executors.get(id).child.send(behaviour);
    }

    /** Finds the leading keeper by its metrics; waits for an election. */
    async findLeader() {
        for (const until = Date.now() + 5_000; Date.now() < until; await wait(200)) {
            for (const keeper of this.keepers) {
                const text = await readText(`${keeper.ip}:${ports.metrics}`, "/metrics");
                if (/^daisylock_leading 1$/m.test(text)) {
                    return keeper;
                }
            }
        }
        throw new NotRunnable("no keeper leads");
    }

    /** Stops a process with SIGTERM and starts it again once it has ended, as the platform does in a rolling restart. */
    restartNode(node) {
        this.record(`${node.name} gets SIGTERM`);
        node.child.once("exit", () => {
            this.record(`${node.name} has ended`);
            setTimeout(() => {
                if (!this.isStopping) {
                    this.startNode(node, false);
                }
            }, nodeRestartMs);
        });
        node.child.kill("SIGTERM");
    }

    /** Ends a keeper and empties its disk; it comes back at its address, with `bootstrap` false. */
    async wipeNode(node, forMs) {
        this.record(`${node.name} loses its disk`);
        const ended = new Promise(done => node.child.once("exit", done));
        node.child.kill("SIGKILL");
        await ended;
        rmSync(join(this.folder, node.name), { recursive: true, force: true });
        await wait(forMs);
        this.startNode(node, false);
        this.record(`${node.name} starts with an empty disk`);
    }

    crashExecutor(id) {
        this.record(`executor ${id} crashes`);
        this.executors.get(id).child.kill("SIGKILL");
    }

    restartExecutor(id) {
        this.record(`executor ${id} starts again`);
        this.startExecutor(this.executors.get(id).options);
    }

    /** Sends a caller's request and records it; retries at the other entries as PROTOCOL.md tells clients to. */
    async call(method, path, { body, host = "desk.example", key, label = "" } = {}) {
        const headers = {
            host,
            "daisylock-request-deadline": "3000",
            ...key === undefined ? {} : { authorization: `Bearer ${key}` },
        };
        let reply = { status: 0 };
        for (let attempt = 0; attempt < 4; attempt++) {
            reply = await send(this.fronts[attempt % this.fronts.length], method, path, { headers, body });
            this.record(`client ${method} ${path} ${label} -> ${reply.status} ${JSON.stringify(reply.content ?? {})}`);
            if (![0, 502, 503, 504, 429].includes(reply.status)) {
                break;
            }
            await wait(300 * (attempt + 1));
        }
        return reply;
    }

    async stop() {
        this.isStopping = true;
        const children = [...this.children];
        const exits = children.map(child => new Promise(done => child.once("exit", done)));
        children.forEach(child => child.kill("SIGKILL"));
        await Promise.all(exits);
        writeFileSync(this.recordFile, `${this.lines.join("\n")}\n`);
        if (process.env.KEEP_LOGS !== "1") {
            rmSync(this.folder, { recursive: true, force: true });
        }
        else {
            console.error(this.folder);
        }
    }
}

/** Builds a configuration with one queue a service; queues are public unless tenants are given. */
export function buildConfiguration(services, { version = 1, maxAttempts = 4, tenants = [], isPublic = true } = {}) {
    return {
        version,
        routes: services.map(service => ({
            name: `r-${service}`,
            host: "desk.example",
            pathPrefix: `/${service}/`,
            kind: "non_idempotent",
            timeoutMs: 3_000,
            targetLatencyMs: 600,
            priority: 0,
            service,
            maxAttempts,
            stretch: 1.6,
            public: isPublic,
        })),
        services: services.map(name => ({
            name,
            healthPath: "/health",
            maxConns: 64,
            protocol: "h1",
            tls: false,
            enforcesCapacity: true,
            spare: false,
        })),
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants,
    };
}

/** Runs a case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(caseFolder, play) {
    const deployment = new Deployment(caseFolder);
    const timer = setTimeout(() => finish(2, "the case took too long"), 115_000);
    let isOver = false;
    async function finish(code, text) {
        if (isOver) {
            return;
        }
        isOver = true;
        clearTimeout(timer);
        deployment.record(`result ${code}: ${text}`);
        await deployment.stop();
        console.log(`result ${code}: ${text}`);
        process.exit(code);
    }
    try {
        const broken = await play(deployment, process.env.TROUBLE !== "0");
        await finish(broken === undefined ? 0 : 1, broken ?? "the rule held");
    }
    catch (error) {
        await finish(2, String(error?.stack ?? error));
    }
}
