// Runs the main job on one machine: a daemon, two stand-in targets, tables, a key, and a few real requests.
// With --stay it keeps serving until it is interrupted.
import { spawn, spawnSync } from "node:child_process";
import { rmSync } from "node:fs";
import { request } from "node:http";

const daemonFile = "packages/daemon/dist/daisylockd.js";
const cliFile = "packages/cli/dist/daisylock.js";
const settings = "examples/single.toml";
const environment = {
    ...process.env,
    DAISYLOCK_SERVER: "127.0.0.1:7003",
    DAISYLOCK_TOKEN: "example-operator-token",
};
const isStaying = process.argv.includes("--stay");
const children = [];

function startProcess(file, ...args) {
    const child = spawn(process.execPath, [file, ...args], {
        env: environment,
        stdio: ["ignore", "inherit", "inherit"],
    });
    child.on("exit", code => {
        child.hasEnded = true;
        if (code !== 0 && code !== null) {
            console.error(`${file} ${args[0]} ended with ${code}`);
        }
    });
    children.push(child);
}

function runCommand(...args) {
    const { status, stdout, stderr } = spawnSync(process.execPath, [cliFile, ...args, "--output", "json"], {
        env: environment,
        encoding: "utf8",
    });
    return { status, stderr, body: status === 0 ? JSON.parse(stdout || "{}") : undefined };
}

async function waitUntil(what, check) {
    for (let attempt = 0; attempt < 100; attempt++) {
        if (await check()) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, 200));
    }
    throw new Error(`${what} did not happen in time`);
}

function sendRequest(path, key) {
    return new Promise(resolve => {
        const outgoing = request(`http://127.0.0.1:7001${path}`, {
            headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
        }, incoming => {
            const chunks = [];
            incoming.on("data", chunk => chunks.push(chunk));
            incoming.on("end", () => resolve({ status: incoming.statusCode, body: Buffer.concat(chunks).toString() }));
        });
        outgoing.on("error", () => resolve({ status: 0, body: "" }));
        outgoing.end();
    });
}

async function runMainJob() {
    rmSync("data/single", { recursive: true, force: true });
    startProcess(daemonFile, "run", "--settings", settings);
    await waitUntil("bootstrap", () => runCommand("keeper", "bootstrap").status === 0);
    await waitUntil("status", () => runCommand("status").status === 0);
    const applied = runCommand("apply", "-f", "examples/tables.toml");
    if (applied.status !== 0) {
        throw new Error(applied.stderr);
    }
    const { key } = runCommand("key", "grant", "quickstart", "--team", "spas").body;
    for (const number of [1, 2]) {
        startProcess(
            cliFile,
            "bench",
            "target",
            "--vm",
            `vm-${number}`,
            "--address",
            `127.0.0.1:${7100 + number}`,
            "--announce-to",
            "127.0.0.1:7002",
            "--target-token",
            "example-target-token",
        );
    }
    await waitUntil("targets", () => runCommand("status").body?.pools[0]?.ready === 2);
    await waitUntil("an answer", async () => (await sendRequest("/v1/routes/bookings/", key)).status === 200);
    for (
        const [path, presented] of [
            ["/v1/routes/bookings/session/17", key],
            ["/v1/routes/opening-hours/", undefined],
            ["/v1/routes/bookings/session/17", "dlk_unknown_aaaaaaaaaaaaaaaaaaaaaaaa"],
        ]
    ) {
        const { status, body } = await sendRequest(path, presented);
        console.log(`${path} ${presented === undefined ? "without key" : `key ${presented.slice(0, 14)}...`}`);
        console.log(`  ${status} ${body}`);
    }
    return key;
}

async function stopAll() {
    for (const child of children.reverse()) {
        child.kill("SIGTERM");
        await waitUntil("a process's end", () => child.hasEnded === true);
    }
}

try {
    const key = await runMainJob();
    console.log("\nTry next:");
    console.log("  npm run quickstart -- --stay       keeps it running, then in another terminal:");
    console.log("  export DAISYLOCK_TOKEN=example-operator-token");
    console.log("  node packages/cli/dist/daisylock.js status");
    console.log("  node packages/cli/dist/daisylock.js timeline --last 60");
    console.log("  node packages/cli/dist/daisylock.js key revoke quickstart");
    if (isStaying) {
        console.log(`  curl -H 'Authorization: Bearer ${key}' http://127.0.0.1:7001/v1/routes/bookings/`);
        await new Promise(resolve => process.once("SIGINT", resolve));
    }
    await stopAll();
}
catch (error) {
    console.error(String(error));
    children.forEach(child => child.kill("SIGKILL"));
    process.exitCode = 1;
}
