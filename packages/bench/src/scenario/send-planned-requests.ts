import { Agent } from "node:http";

import { sendCallerRequest } from "../callers/send-caller-request.js";
import type { Testbed } from "../testbed/testbed.js";
import type { PlannedRequest } from "./planned-request.js";
import type { SentRequest } from "./sent-request.js";

const maxSocketsPerEntry = 2_000;

/**
 * Sends requests at their planned times, without waiting for earlier responses, and then waits for every response.
 * @param testbed - testbed that receives the requests
 * @param requests - the requests in order of their planned times
 * @returns the requests with their responses
 */
export async function sendPlannedRequests(
    testbed: Testbed,
    requests: readonly PlannedRequest[],
): Promise<SentRequest[]> {
    const agent = new Agent({ keepAlive: true, maxSockets: maxSocketsPerEntry });
    const entries = testbed.cluster.plan.processes.map(process => process.callers);
    const startedAt = performance.now();
    const pending: Promise<SentRequest>[] = [];
    for (const plan of requests) {
        const waitMs = startedAt + plan.atMs - performance.now();
        if (waitMs > 1) {
            await new Promise(resolve => setTimeout(resolve, waitMs));
        }
        pending.push(
            sendCallerRequest({
                entry: entries[plan.entry] ?? "",
                route: plan.route,
                key: testbed.keys.get(plan.team),
                requestId: plan.id,
                isUnrepeatable: plan.isUnrepeatable,
                isUrgent: plan.isUrgent,
                deadlineMs: plan.deadlineMs,
                agent,
            }).then(response => ({ plan, response, latencyMs: performance.now() - startedAt - plan.atMs })),
        );
    }
    const sent = await Promise.all(pending);
    agent.destroy();
    return sent;
}
