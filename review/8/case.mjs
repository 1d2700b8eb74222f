// The machines of the core lose their disks in turn, one at a time. Jobs that were accepted before start afterwards.
import { createHash } from "node:crypto";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";

import { buildConfiguration, runCase, send, wait } from "../lib-2/deployment.mjs";

const executorCount = 14;
/** Time for which jobs are handed in, milliseconds. */
const handInMs = 44_000;
const nowPerSecond = 18;
const laterPerSecond = 14;
/** Time from the first job until the first of the scheduled jobs is due, milliseconds. */
const dueAfterMs = 80_000;
const downMs = 3_000;
/** `catchUpS` and some more, from a machine's return to the next loss. */
const catchUpMs = 6_500;
const headers = { host: "desk.example", "daisylock-request-deadline": "3000" };

const computeDigest = text => createHash("sha256").update(text).digest("hex").slice(0, 16);

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, isTroubled) => {
    await deployment.start({ configuration: buildConfiguration(["front-desk", "spa-partner"]) });
    for (let n = 0; n < executorCount; n++) {
        deployment.startExecutor({
            id: `i-${n}`,
            host: 10 + n,
            service: n % 2 === 0 ? "front-desk" : "spa-partner",
            zone: ["bole", "kazanchis", "piassa"][n % 3],
            labels: ["a", `r${1 + n % 3}-1`],
            capacity: { cpu: 32_000, memMb: 65_536, gpu: 0 },
        });
    }
    await wait(4_000);
    const sent = new Map();
    const accepted = new Set();
    const wrong = new Map();
    let startCount = 0;
    deployment.onEvent(({ event, executor, task, spec, status }) => {
        const id = task?.split(".")[0];
        if (event === "order" && status === 200 && sent.has(id)) {
            startCount += 1;
            if (spec !== sent.get(id)) {
                wrong.set(id, executor);
            }
        }
    });
    const startedAt = Date.now();
    let count = 0;
    async function submit(isLater) {
        count += 1;
        const id = (0x5c0e7a21d94b0000n + BigInt(count)).toString(16);
        const task = { cpu: 1_000, ms: 300 };
        // A note of some 3,800 bytes, most of it characters beyond the basic plane, as people write them.
        const note = isLater ? `${"!".repeat(count % 2)}${"\u{1F486}\u{1F33F}\u{1F9D6}".repeat(315)}` : "";
        const spec = JSON.stringify({ steps: [task, task], note });
        const step = { count: 1, cpu: task.cpu, memMb: 1_000, estimateMs: task.ms };
        const steps = isLater ? [step] : [step, { ...step, after: [0] }];
        const schedule = isLater ? { times: 1, startAtMs: startedAt + dueAfterMs + count * 5, intervalMs: 1_000 } : {};
        const path = `/${isLater ? "spa-partner" : "front-desk"}/${id}`;
        sent.set(id, computeDigest(spec));
        const { status } = await send(deployment.fronts[count % deployment.fronts.length], "POST", path, {
            headers,
            body: { spec, steps, ...schedule },
        });
        if (status === 200) {
            accepted.add(id);
        }
    }
    const timers = [
        setInterval(() => submit(false), 1_000 / nowPerSecond),
        setInterval(() => submit(true), 1_000 / laterPerSecond),
    ];
    await wait(handInMs);
    timers.forEach(clearInterval);
    deployment.record(`client has sent ${count} jobs, ${accepted.size} of them are accepted`);
    if (isTroubled) {
        const leader = await deployment.findLeader();
        deployment.record(`${leader.name} leads`);
        for (const keeper of [...deployment.keepers.filter(other => other !== leader), leader]) {
            await deployment.wipeNode(keeper, downMs);
            await wait(catchUpMs);
        }
    }
    await wait(Math.max(0, startedAt + dueAfterMs + 12_000 - Date.now()));
    const leader = await deployment.findLeader();
    deployment.record(`${leader.name} leads`);
    deployment.record(
        `${startCount} starts, ${wrong.size} of them with another spec: ${JSON.stringify([...wrong].slice(0, 5))}`,
    );
    return wrong.size === 0
        ? undefined
        : `UNASKED: executors were told to start ${wrong.size} jobs of ${accepted.size} with another spec than the client sent`;
});
