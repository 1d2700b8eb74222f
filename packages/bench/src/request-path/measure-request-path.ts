import { type ChildProcess, spawn } from "node:child_process";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { LocalCluster } from "../cluster/local-cluster.js";
import type { RequestPathResult } from "./request-path-result.js";
import { runClosedLoop } from "./run-closed-loop.js";
import { sendEcho } from "./send-echo.js";

const firstPort = 27_000;
const forwarderPort = 27_100;
const targetPorts = [27_101, 27_102];
const connections = 24;
const warmupMs = 4_000;
const roundMs = 4_000;
const pairCount = 5;
const echoMegabytes = 100;

/**
 * Compares requests through one entry with requests through a minimal forwarder. The runs alternate, and the targets
 * respond immediately.
 * @param daemonFile - path of the daemon's JavaScript file
 * @param cliFile - path of the CLI's JavaScript file, which runs the fake targets and the forwarder
 * @returns the measurements
 */
export async function measureRequestPath(daemonFile: string, cliFile: string): Promise<RequestPathResult> {
    const folder = join(tmpdir(), "daisylock-path");
    const cluster = new LocalCluster({
        zones: ["a"],
        entriesPerZone: 1,
        keepers: 1,
        firstPort,
        folder,
        daemonFile,
        hasLinkProxies: false,
    });
    const children: ChildProcess[] = [];
    try {
        await cluster.start();
        const key = await sendTables(cluster);
        children.push(...startTargetsAndForwarder(cluster, cliFile));
        const entry = cluster.findProcess("a1").callers;
        const url = `http://${entry}/v1/routes/book/`;
        const headers = { authorization: `Bearer ${key}` };
        await cluster.waitUntil("readiness of both targets", async () => {
            const pools = (await cluster.sendApiRequest("GET", "/v1/status"))?.body["pools"] as
                | { ready: number }[]
                | undefined;
            return pools?.[0]?.ready === targetPorts.length;
        });
        return { ...await measurePairs(url, headers), ...await measureEcho(cluster, entry) };
    }
    finally {
        children.forEach(child => child.kill("SIGKILL"));
        await cluster.stop();
    }
}

async function sendTables(cluster: LocalCluster): Promise<string> {
    const team = { share: 1, upperLimit: 1_000, isolatedService: "refuse" };
    await cluster.sendChange([
        { kind: "team", name: "spas", value: team },
        { kind: "pool", name: "front", value: { maxUnavailablePercent: 25, spare: false } },
        ...targetPorts.map(port => ({
            kind: "vm",
            name: `vm-${port}`,
            value: { pool: "front", zone: "a", rack: "r" },
        })),
        { kind: "route", name: "book", value: { pool: "front", team: "spas", access: "keyed" } },
        { kind: "route", name: "open", value: { pool: "front", team: "spas", access: "open" } },
    ] as never);
    return cluster.createKey("path", "spas");
}

function startTargetsAndForwarder(cluster: LocalCluster, cliFile: string): ChildProcess[] {
    const startBench = (...args: string[]) => spawn(process.execPath, [cliFile, "bench", ...args], { stdio: "ignore" });
    const { targets } = cluster.findProcess("a1");
    const fakeTargets = targetPorts.map(port =>
        startBench(
            "target",
            ...["--vm", `vm-${port}`, "--address", `127.0.0.1:${port}`, "--announce-to", targets],
            ...["--target-token", cluster.targetToken, "--slots", "64", "--service-ms", "0"],
        )
    );
    const addresses = targetPorts.map(port => `127.0.0.1:${port}`);
    return [...fakeTargets, startBench("forwarder", "--port", String(forwarderPort), "--targets", ...addresses)];
}

async function measurePairs(
    url: string,
    headers: Record<string, string>,
): Promise<Pick<RequestPathResult, "pairs" | "medianRatio">> {
    const bareUrl = `http://127.0.0.1:${forwarderPort}/`;
    await runClosedLoop(bareUrl, {}, connections, warmupMs);
    await runClosedLoop(url, headers, connections, warmupMs);
    const measured: RequestPathResult["pairs"][number][] = [];
    for (let pair = 0; pair < pairCount; pair++) {
        const bare = await runClosedLoop(bareUrl, {}, connections, roundMs);
        const entry = await runClosedLoop(url, headers, connections, roundMs);
        measured.push({ bare, entry, ratio: entry.requestsPerSecond / bare.requestsPerSecond });
    }
    const ratios = measured.map(({ ratio }) => ratio).sort((a, b) => a - b);
    return { pairs: measured, medianRatio: ratios[Math.floor(ratios.length / 2)] ?? 0 };
}

async function measureEcho(
    cluster: LocalCluster,
    entry: string,
): Promise<Pick<RequestPathResult, "echoedMegabytes" | "isWhole" | "memoryGrowthMb">> {
    const readMemoryBytes = async () =>
        Number((await cluster.sendApiRequest("GET", "/v1/process"))?.body["memoryBytes"]);
    const before = await readMemoryBytes();
    let peak = before;
    const timer = setInterval(() => {
        void readMemoryBytes().then(bytes => {
            peak = Math.max(peak, bytes);
        });
    }, 50);
    const isWhole = await sendEcho(entry, "open", echoMegabytes);
    clearInterval(timer);
    return { echoedMegabytes: echoMegabytes, isWhole, memoryGrowthMb: (peak - before) / 1_048_576 };
}
