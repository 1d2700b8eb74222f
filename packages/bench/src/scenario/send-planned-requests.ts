import { Agent } from "node:http";

import { sendCallerRequest } from "../callers/send-caller-request.js";
import type { Testbed } from "../testbed/testbed.js";
import type { PlannedRequest } from "./planned-request.js";
import type { SentRequest } from "./sent-request.js";

const maxSocketsPerEntry = 2_000;

/**
 * Sends planned requests at their times and waits for every answer.
 * @param site - where to
 * @param requests - the requests in order
 * @returns each with its answer
 */
export async function sendPlannedRequests(site: Testbed, requests: readonly PlannedRequest[]): Promise<SentRequest[]> {
    const agent = new Agent({ keepAlive: true, maxSockets: maxSocketsPerEntry });
    const entries = site.cluster.plan.processes.map(process => process.callers);
    const startedAt = performance.now();
    const answers: Promise<SentRequest>[] = [];
    for (const plan of requests) {
        const waitMs = startedAt + plan.atMs - performance.now();
        if (waitMs > 1) {
            await new Promise(resolve => setTimeout(resolve, waitMs));
        }
        answers.push(
            sendCallerRequest({
                entry: entries[plan.entry] ?? "",
                route: plan.route,
                key: site.keys.get(plan.team),
                requestId: plan.id,
                isUnrepeatable: plan.isUnrepeatable,
                isUrgent: plan.isUrgent,
                deadlineMs: plan.deadlineMs,
                agent,
            }).then(answer => ({ plan, response: answer, latencyMs: performance.now() - startedAt - plan.atMs })),
        );
    }
    const sent = await Promise.all(answers);
    agent.destroy();
    return sent;
}
