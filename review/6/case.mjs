// Clients hand in scheduled jobs at an ordinary rate. No machine, link or executor is disrupted. Without trouble the same
// number of jobs comes at the same rate, each due once.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";

import { buildConfiguration, runCase, send, wait } from "../lib-2/deployment.mjs";

const jobCount = Number(process.env.JOBS ?? 1_600);
const jobsPerSecond = Number(process.env.RATE ?? 22);
/** Jobs of ten that are sent once more after their acknowledgement; the site file has 0.3 (`twice`). */
const repeatedOfTen = 3;
/** `recoveryS` of a small deployment. */
const recoveryMs = 12_000;
const hourMs = 3_600_000;
const quarterMs = 900_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, isTroubled) => {
    const configuration = buildConfiguration(["front-desk"]);
    await deployment.start({ configuration });
    deployment.watchNodes();
    const times = isTroubled ? 512 : 1;
    const startAtMs = Date.now() + hourMs;
    const headers = { host: "desk.example", "daisylock-request-deadline": "3000" };
    const spec = JSON.stringify({ steps: [{ cpu: 2_000, ms: 1_000 }] });
    const body = {
        spec,
        steps: [{ count: 1, cpu: 2_000, memMb: 2_500, estimateMs: 1_000 }],
        times,
        startAtMs,
        intervalMs: quarterMs,
    };
    const accepted = [];
    async function submit(deployment, n, id) {
        // "Occasionally, such a request also arrives seconds after the 2xx response for that ID."
        for (const delayMs of n % 10 < repeatedOfTen ? [0, 2_000] : [0]) {
            await wait(delayMs);
            const front = deployment.fronts[n % deployment.fronts.length];
            const { status } = await send(front, "POST", `/front-desk/${id}`, { headers, body });
            statuses.set(status, (statuses.get(status) ?? 0) + 1);
            if (status === 200 && delayMs === 0) {
                accepted.push(id);
            }
        }
    }
    const statuses = new Map();
    const open = new Set();
    const startedAt = Date.now();
    for (let n = 0; n < jobCount && deployment.ownEnds.length === 0; n++) {
        await wait(Math.max(0, startedAt + n * 1_000 / jobsPerSecond - Date.now()));
        const id = (0x5c0e7a21d94b0000n + BigInt(n)).toString(16);
        const call = submit(deployment, n, id).finally(() => open.delete(call));
        open.add(call);
        if (n % 100 === 0) {
            deployment.record(`client has sent ${n} jobs, answers ${JSON.stringify([...statuses])}`);
        }
    }
    await Promise.all(open);
    deployment.record(`client has sent all jobs, answers ${JSON.stringify([...statuses])}`);
    // Time for the platform to start ended processes again, and for them to serve.
    await wait(recoveryMs);
    const answers = new Map();
    await Promise.all(
        accepted.slice(0, 5).map(async (id, n) => {
            const path = `/front-desk/${id}`;
            const { status, content } = await send(deployment.fronts[n % deployment.fronts.length], "GET", path, {
                headers,
            });
            deployment.record(`client GET ${path} -> ${status} ${JSON.stringify(content ?? {})}`);
            const answer = `${status} ${content?.state ?? ""}`.trim();
            answers.set(answer, (answers.get(answer) ?? 0) + 1);
        }),
    );
    const ends = deployment.ownEnds;
    return ends.length === 0
        ? undefined
        : `Fault: processes ended by themselves ${ends.length} times (${
            [...new Set(ends.map(({ name }) => name))].join(", ")
        }) after `
            + `${accepted.length} accepted jobs; answers for five of them at the end: ${JSON.stringify([...answers])}`;
});
