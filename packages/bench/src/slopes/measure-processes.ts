import { tmpdir } from "node:os";
import { join } from "node:path";

import { LocalCluster } from "../cluster/local-cluster.js";
import { sendAnnouncement } from "../targets/send-announcement.js";
import { computeLinearFit } from "./compute-linear-fit.js";
import type { LinearFit } from "./linear-fit.js";
import type { RoleCost } from "./role-cost.js";

const measurementWindowMs = 8_000;
const settleMs = 3_000;

/** What processes cost at rest and under announcements. */
interface ProcessCosts {
    readonly slopes: LinearFit[];
    readonly roles: RoleCost[];
}

/**
 * Measures real processes: each role at rest, and an entry under announcements of targets.
 * @param daemonFile - file of the daemon
 * @returns slopes and costs by role
 */
export async function measureProcesses(daemonFile: string): Promise<ProcessCosts> {
    const fleet = new LocalCluster({
        zones: ["a", "b", "c"],
        entriesPerZone: 2,
        keepers: 3,
        firstPort: 28_000,
        folder: join(tmpdir(), "daisylock-slopes"),
        daemonFile,
        hasLinkProxies: true,
    });
    await fleet.start();
    try {
        await new Promise(resolve => setTimeout(resolve, settleMs));
        const roles = await measureIdle(fleet);
        return { roles, slopes: [await measureAnnouncements(fleet)] };
    }
    finally {
        await fleet.stop();
    }
}

interface ProcessUsage {
    readonly cpuMs: number;
    readonly memoryBytes: number;
    readonly role: string;
}

async function readProcessUsage(fleet: LocalCluster, name: string): Promise<ProcessUsage> {
    const body = (await fleet.sendApiRequest("GET", "/v1/process", undefined, name))?.body ?? {};
    const role = typeof body["role"] === "string" ? `entry and keeper, ${body["role"]}` : "entry";
    return {
        cpuMs: Number(body["processorMicroseconds"]) / 1_000,
        memoryBytes: Number(body["memoryBytes"]),
        role,
    };
}

async function measureIdle(fleet: LocalCluster): Promise<RoleCost[]> {
    const names = fleet.plan.processes.map(process => process.name);
    const linkBytes = fleet.countLinkBytes();
    const before = await Promise.all(names.map(name => readProcessUsage(fleet, name)));
    await new Promise(resolve => setTimeout(resolve, measurementWindowMs));
    const after = await Promise.all(names.map(name => readProcessUsage(fleet, name)));
    const carried = fleet.countLinkBytes() - linkBytes;
    return after.map((reading, position) => ({
        name: names[position] ?? "",
        role: reading.role,
        cpuPercent: 100 * (reading.cpuMs - (before[position]?.cpuMs ?? 0)) / measurementWindowMs,
        memoryMb: reading.memoryBytes / 1_048_576,
        // Links carry what crosses zones; it is spread over the processes evenly here.
        bytesPerSecond: carried / names.length / (measurementWindowMs / 1_000),
    }));
}

/** Announcements of VMs that the tables do not name are checked and refused, so that known ones are set up first. */
async function measureAnnouncements(fleet: LocalCluster): Promise<LinearFit> {
    const { name, targets } = fleet.findProcess("a2");
    const vms = Array.from({ length: 100 }, (_unused, number) => `vm-${number}`);
    await fleet.sendChange([
        { kind: "pool" as never, name: "front", value: { maxUnavailablePercent: 10, spare: false } },
        ...vms.map(vm => ({ kind: "vm" as never, name: vm, value: { pool: "front", zone: "a", rack: "r" } })),
    ] as never);
    await new Promise(resolve => setTimeout(resolve, settleMs));
    const rates = [0, 100, 200, 400];
    const costs: number[] = [];
    for (const rate of rates) {
        const before = await readProcessUsage(fleet, name);
        await sendAnnouncements(targets, fleet.targetToken, vms, rate);
        const after = await readProcessUsage(fleet, name);
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
    for (let sent = 0; performance.now() - startedAt < measurementWindowMs;) {
        for (const due = (performance.now() - startedAt) * rate / 1_000; sent < due; sent++) {
            const vm = vms[sent % vms.length] ?? "";
            const running = Array.from({ length: 4 }, (_unused, number) => (
                { dispatch: `entry-a1@0123456789ab/${sent + number}`, team: "spas" }
            ));
            const announcement = { address: "127.0.0.1:9", incarnation: 1, slots: 8, state: "ready" as const, running };
            void sendAnnouncement(targets, vm, token, announcement).catch(() => undefined);
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}
