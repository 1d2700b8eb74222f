// Executors crash, one at a time, while they are at work on the same task. Nothing else is disrupted. With CRASH=early, two
// executors crash right after they have started the task instead of four in the middle of its runs.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";

import { buildConfiguration, runCase, wait } from "../lib-2/deployment.mjs";

const executorCount = 7;
const isEarly = process.env.CRASH === "early";
const crashCount = isEarly ? 2 : 4;
const crashAfterMs = isEarly ? 30 : 1_500;
const downMs = 2_000;
const maxAttempts = 4;
const taskMs = 4_000;
const waitMs = 75_000;
const job = "5c0e7a21d94b36f8";
const path = `/front-desk/${job}`;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, isTroubled) => {
    await deployment.start({ configuration: buildConfiguration(["front-desk"], { maxAttempts }) });
    for (let n = 0; n < executorCount; n++) {
        deployment.startExecutor({
            id: `i-${n}`,
            host: 10 + n,
            service: "front-desk",
            zone: ["bole", "kazanchis", "piassa"][n % 3],
            labels: ["a", `r${1 + n % 3}-1`],
            capacity: { cpu: 32_000, memMb: 65_536, gpu: 0 },
        });
    }
    await wait(4_000);
    let crashes = 0;
    let failedEnds = 0;
    deployment.onEvent(({ event, executor, task, how }) => {
        const isOfJob = task?.startsWith(job) === true;
        failedEnds += isOfJob && event === "end" && how === "failed" ? 1 : 0;
        if (isTroubled && isOfJob && event === "start" && crashes < crashCount) {
            crashes += 1;
            setTimeout(() => {
                deployment.crashExecutor(executor);
                setTimeout(() => deployment.restartExecutor(executor), downMs);
            }, crashAfterMs);
        }
    });
    const steps = [{ count: 1, cpu: 2_000, memMb: 2_500, estimateMs: taskMs }];
    const spec = JSON.stringify({ steps: [{ cpu: 2_000, ms: taskMs }] });
    const { status } = await deployment.call("POST", path, { body: { spec, steps } });
    if (status !== 200) {
        throw new Error(`the job was not accepted: ${status}`);
    }
    for (const until = Date.now() + waitMs; Date.now() < until;) {
        await wait(1_000);
        const { content } = await deployment.call("GET", path);
        if (content?.state === "completed") {
            return undefined;
        }
        if (content?.state === "failed") {
            return `LOST: the job is shown as failed after ${crashes} crashes of executors and ${failedEnds} ends "failed" `
                + `of ${maxAttempts} allowed`;
        }
    }
    throw new Error("the job has not ended in time");
});
