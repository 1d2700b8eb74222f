import { Agent } from "node:http";

import { sendRequest } from "../callers/send-request.js";
import type { Site } from "../site/site.js";
import type { PlannedRequest } from "./planned-request.js";
import type { SentRequest } from "./sent-request.js";

const maxSocketsPerEntry = 2_000;

/**
 * Sends planned requests at their times and waits for every answer.
 * @param site - where to
 * @param requests - the requests in order
 * @returns each with its answer
 */
export async function sendPlanned(site: Site, requests: readonly PlannedRequest[]): Promise<SentRequest[]> {
    const agent = new Agent({ keepAlive: true, maxSockets: maxSocketsPerEntry });
    const entries = site.fleet.plan.processes.map(process => process.callers);
    const startedAt = performance.now();
    const answers: Promise<SentRequest>[] = [];
    for (const plan of requests) {
        const waitMs = startedAt + plan.at - performance.now();
        if (waitMs > 1) {
            await new Promise(resolve => setTimeout(resolve, waitMs));
        }
        answers.push(
            sendRequest({
                entry: entries[plan.entry] ?? "",
                route: plan.route,
                key: site.keys.get(plan.team),
                requestId: plan.id,
                isUnrepeatable: plan.isUnrepeatable,
                isUrgent: plan.isUrgent,
                deadlineMs: plan.deadlineMs,
                agent,
            }).then(answer => ({ plan, answer, latencyMs: performance.now() - startedAt - plan.at })),
        );
    }
    const sent = await Promise.all(answers);
    agent.destroy();
    return sent;
}
