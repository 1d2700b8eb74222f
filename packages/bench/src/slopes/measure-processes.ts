import { tmpdir } from "node:os";
import { join } from "node:path";

import { LocalCluster } from "../cluster/local-cluster.js";
import { sendAnnouncement } from "../targets/send-announcement.js";
import { computeLinearFit } from "./compute-linear-fit.js";
import type { LinearFit } from "./linear-fit.js";
import type { RoleCost } from "./role-cost.js";

const measurementWindowMs = 8_000;
const settleMs = 3_000;

/** Costs of idle processes, and of an entry that receives announcements. */
interface ProcessCosts {
    readonly fits: LinearFit[];
    readonly roles: RoleCost[];
}

/**
 * Measures a local cluster of real processes: each process while idle, and an entry while targets announce themselves.
 * @param daemonFile - path of the daemon's JavaScript file
 * @returns linear fits, and the cost of each idle process
 */
export async function measureProcesses(daemonFile: string): Promise<ProcessCosts> {
    const cluster = new LocalCluster({
        zones: ["a", "b", "c"],
        entriesPerZone: 2,
        keepers: 3,
        firstPort: 28_000,
        folder: join(tmpdir(), "daisylock-slopes"),
        daemonFile,
        hasLinkProxies: true,
    });
    await cluster.start();
    try {
        await new Promise(resolve => setTimeout(resolve, settleMs));
        const roles = await measureIdle(cluster);
        return { roles, fits: [await measureAnnouncements(cluster)] };
    }
    finally {
        await cluster.stop();
    }
}

interface ProcessUsage {
    readonly cpuMs: number;
    readonly memoryBytes: number;
    readonly role: string;
}

async function readProcessUsage(cluster: LocalCluster, name: string): Promise<ProcessUsage> {
    const body = (await cluster.sendApiRequest("GET", "/v1/process", undefined, name))?.body ?? {};
    const role = typeof body["role"] === "string" ? `entry and keeper, ${body["role"]}` : "entry";
    return {
        cpuMs: Number(body["processorMicroseconds"]) / 1_000,
        memoryBytes: Number(body["memoryBytes"]),
        role,
    };
}

async function measureIdle(cluster: LocalCluster): Promise<RoleCost[]> {
    const names = cluster.plan.processes.map(process => process.name);
    const linkBytesBefore = cluster.countLinkBytes();
    const before = await Promise.all(names.map(name => readProcessUsage(cluster, name)));
    await new Promise(resolve => setTimeout(resolve, measurementWindowMs));
    const after = await Promise.all(names.map(name => readProcessUsage(cluster, name)));
    const linkBytesDelta = cluster.countLinkBytes() - linkBytesBefore;
    return after.map((usage, index) => ({
        name: names[index] ?? "",
        role: usage.role,
        cpuPercent: 100 * (usage.cpuMs - (before[index]?.cpuMs ?? 0)) / measurementWindowMs,
        memoryMb: usage.memoryBytes / 1_048_576,
        // The link proxies count only the total traffic between zones; each process is assigned an equal part of it.
        bytesPerSecond: linkBytesDelta / names.length / (measurementWindowMs / 1_000),
    }));
}

/**
 * Measures the CPU usage of an entry at several rates of announcements. Adds the announced VMs to the tables first,
 * since entries refuse announcements of unknown VMs.
 */
async function measureAnnouncements(cluster: LocalCluster): Promise<LinearFit> {
    const { name, targets } = cluster.findProcess("a2");
    const vms = Array.from({ length: 100 }, (_unused, number) => `vm-${number}`);
    await cluster.sendChange([
        { kind: "pool" as never, name: "front", value: { maxUnavailablePercent: 10, spare: false } },
        ...vms.map(vm => ({ kind: "vm" as never, name: vm, value: { pool: "front", zone: "a", rack: "r" } })),
    ] as never);
    await new Promise(resolve => setTimeout(resolve, settleMs));
    const rates = [0, 100, 200, 400];
    const costs: number[] = [];
    for (const rate of rates) {
        const before = await readProcessUsage(cluster, name);
        await sendAnnouncements(targets, cluster.targetToken, vms, rate);
        const after = await readProcessUsage(cluster, name);
        costs.push(100 * (after.cpuMs - before.cpuMs) / measurementWindowMs);
    }
    return computeLinearFit("entry under announcements", "% of a core", "announcement a second", rates, costs);
}

async function sendAnnouncements(
    targets: string,
    token: string,
    vms: readonly string[],
    rate: number,
): Promise<void> {
    const startedAt = performance.now();
    for (let sentCount = 0; performance.now() - startedAt < measurementWindowMs;) {
        for (const dueCount = (performance.now() - startedAt) * rate / 1_000; sentCount < dueCount; sentCount++) {
            const vm = vms[sentCount % vms.length] ?? "";
            const running = Array.from({ length: 4 }, (_unused, number) => (
                { dispatch: `entry-a1@0123456789ab/${sentCount + number}`, team: "spas" }
            ));
            const announcement = { address: "127.0.0.1:9", incarnation: 1, slots: 8, state: "ready" as const, running };
            void sendAnnouncement(targets, vm, token, announcement).catch(() => undefined);
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}
