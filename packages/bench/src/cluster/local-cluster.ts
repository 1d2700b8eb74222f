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

/** A fleet of daemons on one machine, with links between zones that can be cut. */
export class LocalCluster {
    readonly plan: ClusterPlan;
    readonly targetToken = secrets.target_token;
    private nextPort: number;
    private readonly children = new Map<string, ChildProcess>();
    private readonly links: ZoneLink[] = [];
    /** Addresses to dial by zone of the dialling process. */
    private readonly dialAddresses = new Map<string, Record<string, string>>();

    /**
     * @param options - how it is set up
     */
    constructor(private readonly options: LocalClusterOptions) {
        this.plan = planCluster(options.zones, options.entriesPerZone, options.keepers, options.firstPort);
        this.nextPort = this.plan.nextPort;
        options.zones.forEach(zone => this.dialAddresses.set(zone, {}));
    }

    /**
     * Starts every process and forms the cluster.
     * @param targetAddresses - addresses of targets by zone, for links to them
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
            throw new ClusterFailure("a fleet needs a keeper");
        }
        await this.waitUntil("bootstrap", async () => {
            const answer = await this.sendApiRequest("POST", "/v1/keepers", { action: "bootstrap" }, first.name);
            return answer?.status === 200 || answer?.status === 409;
        });
        for (const other of others) {
            await this.addKeeper(other.name);
        }
    }

    /**
     * Adds a process's keeper and waits until it votes.
     * @param name - name of the process
     */
    async addKeeper(name: string): Promise<void> {
        const { peers } = this.findProcess(name);
        await this.waitUntil(`${name} is a voter`, async () => {
            const answer = await this.sendApiRequest("POST", "/v1/keepers", { action: "add", address: peers });
            const keepers = (answer?.body["keepers"] ?? []) as { address: string; part: string }[];
            return keepers.some(keeper => keeper.address === peers && keeper.part === "voter");
        });
    }

    /**
     * Starts a process.
     * @param name - its name
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
     * Sends a signal to a process; waits for its end unless the signal only stops or continues it.
     * @param name - its name
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
     * Empties a keeper's disk. The process must not run.
     * @param name - its name
     */
    removeData(name: string): void {
        rmSync(join(this.options.folder, `${name}.data`), { recursive: true, force: true });
    }

    /**
     * Changes the links between two zones, or between one zone and all others.
     * @param state - what the links do
     * @param zone - the zone
     * @param other - the other; all others when absent
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
     * Counts the bytes that the links between zones have carried.
     * @returns bytes in both directions
     */
    countLinkBytes(): number {
        return this.links.reduce((sum, { link }) => sum + link.carriedBytes, 0);
    }

    /**
     * Sends an operator's request.
     * @param method - HTTP method
     * @param path - path
     * @param body - JSON content
     * @param name - process to ask; any that answers when absent
     * @returns the answer, or `undefined` when there is none
     */
    async sendApiRequest(
        method: string,
        path: string,
        body?: unknown,
        name?: string,
    ): ReturnType<typeof sendOperatorRequest> {
        const processes = this.plan.processes.filter(process => name === undefined || process.name === name);
        for (const { operators } of processes) {
            const answer = await sendOperatorRequest(operators, secrets.operator_token, method, path, body);
            if (answer !== undefined && (answer.status < 500 || processes.length === 1)) {
                return answer;
            }
        }
        return undefined;
    }

    /**
     * Finds the process that leads.
     * @returns its name; empty when none is known
     */
    async findLeader(): Promise<string> {
        const leader = (await this.sendApiRequest("GET", "/v1/status"))?.body["leader"] as
            | { address: string }
            | undefined;
        return this.plan.processes.find(process => process.peers === leader?.address)?.name ?? "";
    }

    /**
     * Changes the tables, again and again under one id until there is an answer.
     * @param edits - the edits
     * @returns the answer
     */
    async sendChange(edits: readonly TableEdit[]): Promise<Record<string, unknown>> {
        const change = { changeId: randomUUID(), edits };
        let body: Record<string, unknown> = {};
        await this.waitUntil("a change", async () => {
            const answer = await this.sendApiRequest("POST", "/v1/changes", change);
            body = answer?.body ?? {};
            return answer !== undefined && answer.status < 500;
        });
        return body;
    }

    /**
     * Grants a key.
     * @param name - name of the key
     * @param team - its team
     * @returns the key as callers present it
     */
    async createKey(name: string, team: string): Promise<string> {
        const secret = randomBytes(24).toString("hex");
        const salt = randomBytes(16).toString("hex");
        const value = { team, salt, digest: computeKeyDigest(salt, secret) };
        await this.sendChange([{ kind: "key" as never, name, value }]);
        return `dlk_${name}_${secret}`;
    }

    /**
     * Finds a planned process.
     * @param name - its name
     * @returns the process
     */
    findProcess(name: string): PlannedProcess {
        const process = this.plan.processes.find(candidate => candidate.name === name);
        if (process === undefined) {
            throw new ClusterFailure(`no process ${name}`);
        }
        return process;
    }

    /**
     * Reads the id of a running process.
     * @param name - its name
     * @returns the process id
     */
    readPid(name: string): number {
        return this.children.get(name)?.pid ?? 0;
    }

    /**
     * Waits for something to happen.
     * @param what - for the failure
     * @param check - whether it has happened
     * @param maxMs - longest wait
     * @throws FleetFailure when it does not
     */
    async waitUntil(what: string, check: () => Promise<boolean> | boolean, maxMs = 30_000): Promise<void> {
        for (const endsAt = performance.now() + maxMs; performance.now() < endsAt;) {
            if (await check()) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
        }
        throw new ClusterFailure(`${what} did not happen in ${maxMs} ms`);
    }

    /** Kills every process and removes the links. */
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
