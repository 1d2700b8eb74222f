// Starts keepers and entries of daisylock as separate processes on loopback addresses, with the commands of
// deploy/system.toml and settings as deploy/settings.toml.template renders them for a small deployment.
import { spawn } from "node:child_process";
import { closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

import { sendJson } from "./send-json.mjs";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const program = join(root, "target", "daisylock.js");
const heapMb = { keeper: 220, entry: 128 };

/** A daisylock deployment of some keepers and entries. */
export class Cluster {
    /**
     * @param record - record of the run
     * @param options - number of keepers and entries, tolerated losses, address of the platform's VM service, and the
     *     delay after which a process that ended by itself is started again; without it, none is
     */
    constructor(record, { keeperCount = 3, entryCount = 1, toleratedLosses = 1, vmAddress = "", restartDelayMs } = {}) {
        Object.assign(this, { record, keeperCount, entryCount, toleratedLosses, vmAddress, restartDelayMs });
        this.folder = mkdtempSync(join(tmpdir(), "daisylock-review-"));
        // A network of its own for each run: 127.A.B.x.
        this.network = `127.${10 + process.pid % 200}.${1 + (process.pid >> 8) % 250}`;
        this.processes = new Map();
        /** Processes that ended by themselves. */
        this.ownEnds = [];
    }

    /** Picks the ports, which are the same on all machines. */
    async prepare() {
        const ports = [];
        while (ports.length < 5) {
            const port = await findFreePort(`${this.network}.1`);
            if (!ports.includes(port)) {
                ports.push(port);
            }
        }
        [this.peerPort, this.controlPort, this.callerPort, this.readyPort, this.metricsPort] = ports;
    }

    keeperIp(index) {
        return `${this.network}.${1 + index}`;
    }

    entryIp(index) {
        return `${this.network}.${101 + index}`;
    }

    buildControl(index) {
        return `${this.keeperIp(index)}:${this.controlPort}`;
    }

    listControls() {
        return Array.from({ length: this.keeperCount }, (_, index) => this.buildControl(index));
    }

    listCallers() {
        return Array.from({ length: this.entryCount }, (_, index) => `${this.entryIp(index)}:${this.callerPort}`);
    }

    startKeeper(index, isBootstrap) {
        this.startProcess("keeper", index, isBootstrap);
    }

    /** Starts all processes; the last keeper `lastKeeperDelayMs` after the others. */
    async startAll(lastKeeperDelayMs = 0) {
        for (let index = 0; index < this.entryCount; index++) {
            this.startProcess("entry", index, true);
        }
        for (let index = 0; index < this.keeperCount; index++) {
            if (index === this.keeperCount - 1 && lastKeeperDelayMs > 0) {
                await new Promise(resolve => setTimeout(resolve, lastKeeperDelayMs));
            }
            this.startKeeper(index, true);
        }
    }

    startProcess(role, index, isBootstrap) {
        const name = `${role}-${index}`;
        const ip = role === "keeper" ? this.keeperIp(index) : this.entryIp(index);
        const data = join(this.folder, name);
        if (role === "keeper") {
            mkdirSync(data, { recursive: true });
        }
        const file = join(this.folder, `${name}.toml`);
        writeFileSync(file, this.buildSettings(role, name, ip, index, role === "keeper" ? data : "", isBootstrap));
        const output = openSync(join(this.folder, `${name}.log`), "a");
        const child = spawn(process.execPath, [`--max-old-space-size=${heapMb[role]}`, program], {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, DAISYLOCK_BOOT: file },
            stdio: ["ignore", output, output],
        });
        closeSync(output);
        this.processes.set(name, child);
        child.once("exit", (code, signal) => {
            // Any other end was requested by the case.
            if (this.restartDelayMs !== undefined && !this.isStopping && this.processes.get(name) === child) {
                this.ownEnds.push({ name, code, signal, atMs: Date.now() });
                this.record.note("process ended by itself", { name, code, signal });
                setTimeout(
                    () => this.isStopping ? undefined : this.startProcess(role, index, false),
                    this.restartDelayMs,
                );
            }
        });
        this.record.note("process started", { name, pid: child.pid, bootstrap: isBootstrap });
    }

    /** Sends a signal to a process that this cluster has started. */
    signal(name, signal) {
        this.record.note("signal", { name, signal });
        this.processes.get(name)?.kill(signal);
    }

    async kill(name) {
        const child = this.processes.get(name);
        const ended = new Promise(resolve => child.once("exit", resolve));
        this.signal(name, "SIGKILL");
        await ended;
        this.processes.delete(name);
    }

    /** Stops a process gracefully; one that does not end within `graceS` is killed. */
    async terminate(name) {
        const child = this.processes.get(name);
        const ended = new Promise(resolve => child.once("exit", resolve));
        const timer = setTimeout(() => child.kill("SIGKILL"), 6_000);
        this.signal(name, "SIGTERM");
        await ended;
        clearTimeout(timer);
        this.processes.delete(name);
        this.record.note("process ended", { name });
    }

    /** Empties the disk of a keeper that has ended. */
    wipe(index) {
        rmSync(join(this.folder, `keeper-${index}`), { recursive: true, force: true });
        this.record.note("disk lost", { name: `keeper-${index}` });
    }

    /** Sends the configuration until a keeper accepts it; returns the position of that keeper. */
    async putConfiguration(configuration, { controls = this.listControls(), forMs = 20_000, pauseMs = 100 } = {}) {
        const endsAt = Date.now() + forMs;
        for (let attempt = 0; Date.now() < endsAt; attempt++) {
            const index = attempt % controls.length;
            const { status } = await sendJson(controls[index], "PUT", "/config", configuration, { timeoutMs: 1_000 });
            if (status === 200) {
                this.record.note("configuration accepted", { version: configuration.version, by: controls[index] });
                return index;
            }
            await new Promise(resolve => setTimeout(resolve, pauseMs));
        }
        return undefined;
    }

    readLog(name) {
        return readFileSync(join(this.folder, `${name}.log`), "utf8");
    }

    /** Position of the keeper whose metrics say that it leads. */
    async findLeader() {
        for (let index = 0; index < this.keeperCount; index++) {
            const { text } = await sendJson(`${this.keeperIp(index)}:${this.metricsPort}`, "GET", "/metrics");
            if (/^daisylock_leading 1$/m.test(text)) {
                return index;
            }
        }
        return undefined;
    }

    /** Ends all processes of the cluster and removes its folder. */
    async stop() {
        this.isStopping = true;
        const children = [...this.processes.values()].filter(child =>
            child.exitCode === null && child.signalCode === null
        );
        await Promise.all(children.map(child => {
            const ended = new Promise(resolve => child.once("exit", resolve));
            child.kill("SIGKILL");
            return ended;
        }));
        if (process.env.KEEP !== "1") {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }

    buildSettings(role, name, ip, index, data, isBootstrap) {
        const isKeeper = role === "keeper";
        const seeds = this.listControls().slice(0, 3);
        return [
            "[node]",
            `name = "${name}"`,
            `zone = "z${index % 3}"`,
            `roles = ["${role}"]`,
            `data = "${data}"`,
            "[listen]",
            `callers = "${isKeeper ? "" : `${ip}:${this.callerPort}`}"`,
            `ready = "${isKeeper ? "" : `${ip}:${this.readyPort}`}"`,
            `control = "${isKeeper ? `${ip}:${this.controlPort}` : ""}"`,
            `peers = "${isKeeper ? `${ip}:${this.peerPort}` : ""}"`,
            `metrics = "${ip}:${this.metricsPort}"`,
            "[cluster]",
            `seeds = ${JSON.stringify(seeds)}`,
            `peer_port = ${this.peerPort}`,
            `found = ${isBootstrap}`,
            `tolerated_losses = ${this.toleratedLosses}`,
            "[vms]",
            `address = "${this.vmAddress}"`,
            "holder_lease_ms = 3000",
            "upkeep_s = 2",
            "move_s = 1.5",
            "[advice]",
            "address = \"\"",
            "[tasks]",
            "max_lease_ms = 6000",
            "keep_state_s = 120",
            "",
        ].join("\n");
    }
}

function findFreePort(host) {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });
}
