// One executor refuses every start with 503 for 6.5 s while its health check is good. Jobs that only it may run wait.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";

import { bounds, buildConfiguration, runCase, send, wait } from "../lib-2/deployment.mjs";

const executorCount = 7;
const jobCount = 6;
const shedMs = 6_500;
/** `visible_ms` and 2 s, after which a job that has not begun has to be counted. */
const countedAfterMs = bounds.visibleMs + 2_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment, isTroubled) => {
    await deployment.start({ configuration: buildConfiguration(["front-desk"]) });
    for (let n = 0; n < executorCount; n++) {
        deployment.startExecutor({
            id: `i-${n}`,
            host: 10 + n,
            service: "front-desk",
            zone: ["bole", "kazanchis", "piassa"][n % 3],
            labels: [n === 0 ? "b" : "a", `r${1 + n % 3}-1`],
            capacity: { cpu: 32_000, memMb: 65_536, gpu: 0 },
        });
    }
    await wait(5_000);
    const begun = new Set();
    deployment.onEvent(({ event, task }) => {
        if (event === "start") {
            begun.add(task.split(".")[0]);
        }
    });
    if (isTroubled) {
        deployment.record("executor i-0 refuses starts with 503");
        deployment.executors.get("i-0").child.send({ shed: true });
        setTimeout(() => {
            deployment.record("executor i-0 takes starts again");
            deployment.executors.get("i-0").child.send({ shed: false });
        }, shedMs);
    }
    await wait(100);
    const acceptedAt = new Map();
    const steps = [{ count: 1, cpu: 2_000, memMb: 2_500, estimateMs: 1_000, requiredLabel: "b" }];
    const spec = JSON.stringify({ steps: [{ cpu: 2_000, ms: 1_000 }] });
    await Promise.all(Array.from({ length: jobCount }, async (_, n) => {
        const id = `5c0e7a21d94b36f${n}`;
        const { status } = await deployment.call("POST", `/front-desk/${id}`, { body: { spec, steps } });
        if (status !== 200) {
            throw new Error(`the job was not accepted: ${status}`);
        }
        acceptedAt.set(id, Date.now());
    }));
    let fault;
    for (const until = Date.now() + countedAfterMs + 1_200; Date.now() < until;) {
        await wait(250);
        const owed = [...acceptedAt].filter(([id, at]) => Date.now() - at > countedAfterMs && !begun.has(id)).length;
        const { status, content } = await send(deployment.fronts[0], "GET", "/front-desk/", {
            headers: { host: "desk.example" },
        });
        // A job may begin while the answer is on its way.
        const stillOwed = [...acceptedAt].filter(([id]) => !begun.has(id)).length;
        deployment.record(
            `client GET /front-desk/ -> ${status} ${
                JSON.stringify(content)
            }; ${owed} jobs wait for over ${countedAfterMs} ms`,
        );
        if (status === 200 && stillOwed >= owed && content.pending < owed / 2) {
            fault ??=
                `MIXED: pending is ${content.pending} while ${owed} jobs that were accepted over ${countedAfterMs} ms before haven't begun`;
        }
    }
    await wait(3_500);
    for (const id of acceptedAt.keys()) {
        await deployment.call("GET", `/front-desk/${id}`);
    }
    return fault;
});
