import { computeKeyDigest } from "@daisylock/core/keys/compute-key-digest.js";
import type { TableEdit } from "@daisylock/core/tables/table-edit.js";
import { type ChildProcess, spawn } from "node:child_process";
import { randomBytes, randomUUID } from "node:crypto";
import { mkdirSync, openSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { stringify } from "smol-toml";

import { ClusterFailure } from "./cluster-failure.js";
import type { ClusterPlan } from "./cluster-plan.js";
import { LinkProxy } from "./link-proxy.js";
import { LinkState } from "./link-state.js";
import type { LocalClusterOptions } from "./local-cluster-options.js";
import { planCluster } from "./plan-cluster.js";
import { sendOperatorRequest } from "./send-operator-request.js";

type PlannedProcess = ClusterPlan["processes"][number];

/** A proxied link from processes of one zone to one address in another zone. */
interface ZoneLink {
    readonly from: string;
    readonly to: string;
    readonly link: LinkProxy;
}

const secrets = {
    secret: "fleet-cluster-secret",
    operator_token: "fleet-operator-token",
    target_token: "fleet-target-token",
};
const pollIntervalMs = 50;

/** A cluster of daemon processes on this machine; links between zones can be interrupted. */
export class LocalCluster {
    readonly plan: ClusterPlan;
    readonly targetToken = secrets.target_token;
    private nextPort: number;
    private readonly children = new Map<string, ChildProcess>();
    private readonly links: ZoneLink[] = [];
    /** By zone of the connecting process: the proxy address to dial, by the address that the proxy forwards to. */
    private readonly dialAddresses = new Map<string, Record<string, string>>();

    /**
     * @param options - zones, processes, ports and settings
     */
    constructor(private readonly options: LocalClusterOptions) {
        this.plan = planCluster(options.zones, options.entriesPerZone, options.keepers, options.firstPort);
        this.nextPort = this.plan.nextPort;
        options.zones.forEach(zone => this.dialAddresses.set(zone, {}));
    }

    /**
     * Starts every process on empty data folders, bootstraps the first keeper and adds the others.
     * @param targetAddresses - addresses of targets by zone, so that connections to them use the links between zones
     * @throws ClusterFailure when the plan has no keeper or a step times out
     */
    async start(targetAddresses: Readonly<Record<string, readonly string[]>> = {}): Promise<void> {
        rmSync(this.options.folder, { recursive: true, force: true });
        mkdirSync(this.options.folder, { recursive: true });
        if (this.options.hasLinkProxies) {
            await this.startLinks(targetAddresses);
        }
        this.plan.processes.forEach(process => this.startProcess(process.name));
        const [first, ...others] = this.plan.processes.filter(process => process.isKeeper);
        if (first === undefined) {
            throw new ClusterFailure("a local cluster needs at least one keeper");
        }
        await this.waitUntil("bootstrap", async () => {
            const response = await this.sendApiRequest("POST", "/v1/keepers", { action: "bootstrap" }, first.name);
            return response?.status === 200 || response?.status === 409;
        });
        for (const other of others) {
            await this.addKeeper(other.name);
        }
    }

    /**
     * Adds the keeper of a process to the voters and waits until it is one.
     * @param name - name of the process
     * @throws ClusterFailure when the keeper does not become a voter in time
     */
    async addKeeper(name: string): Promise<void> {
        const { peers } = this.findProcess(name);
        await this.waitUntil(`keeper of ${name} is a voter`, async () => {
            const response = await this.sendApiRequest("POST", "/v1/keepers", { action: "add", address: peers });
            const keepers = (response?.body["keepers"] ?? []) as { address: string; part: string }[];
            return keepers.some(keeper => keeper.address === peers && keeper.part === "voter");
        });
    }

    /**
     * Writes the settings file of a process and starts the process; its output is appended to a log file.
     * @param name - name of the process
     */
    startProcess(name: string): void {
        const process = this.findProcess(name);
        const file = join(this.options.folder, `${name}.toml`);
        writeFileSync(file, stringify(this.buildSettings(process)));
        const log = openSync(join(this.options.folder, `${name}.log`), "a");
        const child = spawn(globalThis.process.execPath, [this.options.daemonFile, "run", "--settings", file], {
            stdio: ["ignore", log, log],
        });
        this.children.set(name, child);
    }

    /**
     * Sends a signal to a process and waits for it to exit, except after SIGSTOP and SIGCONT. Does nothing if the
     * process is not running.
     * @param name - name of the process
     * @param signal - the signal
     */
    async sendSignal(name: string, signal: NodeJS.Signals): Promise<void> {
        const child = this.children.get(name);
        if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
            return;
        }
        const ended = new Promise(resolve => child.once("exit", resolve));
        child.kill(signal);
        if (signal !== "SIGSTOP" && signal !== "SIGCONT") {
            await ended;
        }
    }

    /**
     * Deletes the data folder of a process, to simulate the loss of its disk. The process must not be running.
     * @param name - name of the process
     */
    removeData(name: string): void {
        rmSync(join(this.options.folder, `${name}.data`), { recursive: true, force: true });
    }

    /**
     * Sets the state of the links, in both directions, between two zones or between one zone and all others.
     * @param state - the new state of the links
     * @param zone - the zone
     * @param other - the other zone; all other zones when `undefined`
     */
    setLinkState(state: LinkState, zone: string, other?: string): void {
        for (const { from, to, link } of this.links) {
            const isBetween = other === undefined
                ? from === zone || to === zone
                : (from === zone && to === other) || (from === other && to === zone);
            if (isBetween) {
                link.setState(state);
            }
        }
    }

    /**
     * Counts the bytes that the links between zones have forwarded.
     * @returns the sum of bytes over both directions
     */
    countLinkBytes(): number {
        return this.links.reduce((sum, { link }) => sum + link.forwardedBytes, 0);
    }

    /**
     * Sends a request to the operator API. Tries one process after the other until one responds with a status below
     * 500.
     * @param method - HTTP method
     * @param path - URL path
     * @param body - request body, sent as JSON
     * @param name - process to send to; every process is tried when `undefined`
     * @returns the first response with a status below 500, or with any status when only one process is tried;
     * `undefined` when there is none
     */
    async sendApiRequest(
        method: string,
        path: string,
        body?: unknown,
        name?: string,
    ): ReturnType<typeof sendOperatorRequest> {
        const processes = this.plan.processes.filter(process => name === undefined || process.name === name);
        for (const { operators } of processes) {
            const response = await sendOperatorRequest(operators, secrets.operator_token, method, path, body);
            if (response !== undefined && (response.status < 500 || processes.length === 1)) {
                return response;
            }
        }
        return undefined;
    }

    /**
     * Finds the process whose keeper is the leader.
     * @returns the name of the process; an empty string when no leader is known
     */
    async findLeader(): Promise<string> {
        const leader = (await this.sendApiRequest("GET", "/v1/status"))?.body["leader"] as
            | { address: string }
            | undefined;
        return this.plan.processes.find(process => process.peers === leader?.address)?.name ?? "";
    }

    /**
     * Changes the tables. Retries with the same change id, so that the change is applied once, until a response has a
     * status below 500.
     * @param edits - the edits
     * @returns body of the response
     * @throws ClusterFailure when there is no such response in time
     */
    async sendChange(edits: readonly TableEdit[]): Promise<Record<string, unknown>> {
        const change = { changeId: randomUUID(), edits };
        let body: Record<string, unknown> = {};
        await this.waitUntil("response to a change of the tables", async () => {
            const response = await this.sendApiRequest("POST", "/v1/changes", change);
            body = response?.body ?? {};
            return response !== undefined && response.status < 500;
        });
        return body;
    }

    /**
     * Creates a key for a team.
     * @param name - name of the key
     * @param team - name of the team
     * @returns the key in the form that callers send
     */
    async createKey(name: string, team: string): Promise<string> {
        const secret = randomBytes(24).toString("hex");
        const salt = randomBytes(16).toString("hex");
        const value = { team, salt, digest: computeKeyDigest(salt, secret) };
        await this.sendChange([{ kind: "key" as never, name, value }]);
        return `dlk_${name}_${secret}`;
    }

    /**
     * Finds a process of the plan.
     * @param name - name of the process
     * @returns the process with its addresses
     * @throws ClusterFailure when the plan has no process of this name
     */
    findProcess(name: string): PlannedProcess {
        const process = this.plan.processes.find(candidate => candidate.name === name);
        if (process === undefined) {
            throw new ClusterFailure(`no process named ${name} in the cluster plan`);
        }
        return process;
    }

    /**
     * Reads the process id that the operating system assigned to a process.
     * @param name - name of the process
     * @returns the process id; 0 when the process was never started
     */
    readPid(name: string): number {
        return this.children.get(name)?.pid ?? 0;
    }

    /**
     * Polls a condition until it holds.
     * @param condition - description of the condition, for the error message
     * @param check - returns whether the condition holds
     * @param maxMs - timeout, milliseconds
     * @throws ClusterFailure when the condition does not hold in time
     */
    async waitUntil(condition: string, check: () => Promise<boolean> | boolean, maxMs = 30_000): Promise<void> {
        for (const endsAt = performance.now() + maxMs; performance.now() < endsAt;) {
            if (await check()) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
        }
        throw new ClusterFailure(`timed out waiting for "${condition}" after ${maxMs} ms`);
    }

    /** Kills every process and closes the links. */
    async stop(): Promise<void> {
        await Promise.all([...this.children.keys()].map(name => this.sendSignal(name, "SIGKILL")));
        this.links.forEach(({ link }) => link.stop());
    }

    private buildSettings(process: PlannedProcess): Record<string, unknown> {
        const { name, zone, isKeeper, callers, targets, operators, peers } = process;
        const { processes } = this.plan;
        const { cluster, ...settings } = this.options.settings ?? {};
        return {
            node: {
                name,
                zone,
                roles: isKeeper ? ["entry", "keeper"] : ["entry"],
                data: join(this.options.folder, `${name}.data`),
            },
            listen: { callers, targets, operators, peers },
            cluster: {
                ...secrets,
                keepers: processes.filter(other => other.isKeeper).map(other => other.peers),
                entries: processes.map(other => other.peers),
                dial: this.dialAddresses.get(zone) ?? {},
                ...cluster,
            },
            ...settings,
        };
    }

    private async startLinks(targetAddresses: Readonly<Record<string, readonly string[]>>): Promise<void> {
        for (const from of this.options.zones) {
            for (const to of this.options.zones) {
                if (from !== to) {
                    const peers = this.plan.processes.filter(process => process.zone === to).map(({ peers }) => peers);
                    for (const address of [...peers, ...targetAddresses[to] ?? []]) {
                        await this.startLink(from, to, address);
                    }
                }
            }
        }
    }

    private async startLink(from: string, to: string, address: string): Promise<void> {
        const port = this.nextPort++;
        const link = new LinkProxy(port, address);
        await link.start();
        this.links.push({ from, to, link });
        const dial = this.dialAddresses.get(from);
        if (dial !== undefined) {
            dial[address] = `127.0.0.1:${port}`;
        }
    }
}
