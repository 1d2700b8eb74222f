// The leading keeper is restarted as planned just after it has started a task on an executor that was idle, and the executor,
// whose clock is 2 % slow, is cut off at the same time and runs on.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";

import { buildConfiguration, runCase, wait } from "../lib-2/deployment.mjs";

const executorCount = 7;
const idleMs = Number(process.env.IDLE_MS ?? 60_000);
const cutMs = 5_500;
const clockRate = 0.98;
const job = "5c0e7a21d94b36f8";
const path = `/front-desk/${job}`;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, isTroubled) => {
    await deployment.start({ configuration: buildConfiguration(["front-desk"]) });
    for (let n = 0; n < executorCount; n++) {
        deployment.startExecutor({
            id: `i-${n}`,
            host: 10 + n,
            service: "front-desk",
            zone: ["bole", "kazanchis", "piassa"][n % 3],
            labels: ["a", `r${1 + n % 3}-1`],
            capacity: { cpu: 32_000, memMb: 65_536, gpu: 0 },
            clockRate,
        });
    }
    await wait(idleMs);
    const running = new Map();
    let fault;
    let isDisrupted = false;
    const leader = await deployment.findLeader();
    deployment.record(`${leader.name} leads`);
    deployment.onEvent(({ event, executor, task, run }) => {
        if (event === "start") {
            const others = [...running].filter(([other]) => other !== executor);
            if (others.length > 0) {
                fault ??= `TWICE: ${task} runs on ${executor} (run ${run}) and on ${
                    others.map(([id, other]) => `${id} (run ${other})`).join(", ")
                }`;
            }
            running.set(executor, run);
        }
        if (event === "end") {
            running.delete(executor);
        }
        if (event === "start" && isTroubled && !isDisrupted) {
            isDisrupted = true;
            deployment.setExecutor(executor, { cut: true });
            deployment.restartNode(leader);
            setTimeout(() => deployment.setExecutor(executor, { cut: false }), cutMs);
        }
    });
    const steps = [{ count: 1, cpu: 2_000, memMb: 2_500, estimateMs: 1_000, longRunning: true }];
    const spec = JSON.stringify({ steps: [{ cpu: 2_000, ms: 0 }] });
    const { status } = await deployment.call("POST", path, { body: { spec, steps } });
    if (status !== 200) {
        throw new Error(`the job was not accepted: ${status}`);
    }
    await wait(12_000);
    await deployment.call("GET", path);
    return fault;
});
