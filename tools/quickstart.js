// Runs a demo on one machine: starts a daemon and two fake targets, applies tables, grants a key and sends requests.
// With --stay the processes keep running until the script is interrupted.
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
const shouldKeepRunning = process.argv.includes("--stay");
const children = [];

function startProcess(file, ...args) {
    const child = spawn(process.execPath, [file, ...args], {
        env: environment,
        stdio: ["ignore", "inherit", "inherit"],
    });
    child.on("exit", code => {
        child.hasExited = true;
        if (code !== 0 && code !== null) {
            console.error(`${file} ${args[0]} exited with code ${code}`);
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

async function waitUntil(description, check) {
    for (let attempt = 0; attempt < 100; attempt++) {
        if (await check()) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, 200));
    }
    throw new Error(`timed out waiting for ${description}`);
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

async function runDemo() {
    rmSync("data/single", { recursive: true, force: true });
    startProcess(daemonFile, "run", "--settings", settings);
    await waitUntil("bootstrap", () => runCommand("keeper", "bootstrap").status === 0);
    await waitUntil("status", () => runCommand("status").status === 0);
    const applyResult = runCommand("apply", "-f", "examples/tables.toml");
    if (applyResult.status !== 0) {
        throw new Error(applyResult.stderr);
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
    await waitUntil(
        "the first successful response",
        async () => (await sendRequest("/v1/routes/bookings/", key)).status === 200,
    );
    for (
        const [path, requestKey] of [
            ["/v1/routes/bookings/session/17", key],
            ["/v1/routes/opening-hours/", undefined],
            ["/v1/routes/bookings/session/17", "dlk_unknown_aaaaaaaaaaaaaaaaaaaaaaaa"],
        ]
    ) {
        const { status, body } = await sendRequest(path, requestKey);
        console.log(`${path} ${requestKey === undefined ? "without key" : `key ${requestKey.slice(0, 14)}...`}`);
        console.log(`  ${status} ${body}`);
    }
    return key;
}

async function stopAll() {
    for (const child of children.reverse()) {
        child.kill("SIGTERM");
        await waitUntil("a process to exit", () => child.hasExited === true);
    }
}

try {
    const key = await runDemo();
    console.log("\nTry next:");
    console.log("  npm run quickstart -- --stay       keeps the demo running; then, in another terminal:");
    console.log("  export DAISYLOCK_TOKEN=example-operator-token");
    console.log("  node packages/cli/dist/daisylock.js status");
    console.log("  node packages/cli/dist/daisylock.js timeline --last 60");
    console.log("  node packages/cli/dist/daisylock.js key revoke quickstart");
    if (shouldKeepRunning) {
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
