import { Agent, request } from "node:http";

import type { ClosedLoopResult } from "./closed-loop-result.js";

/**
 * Sends requests in a closed loop: each connection sends its next request when the previous response is complete. Only
 * responses with status 200 count; other responses and connection errors are ignored.
 * @param url - URL to request
 * @param headers - headers of each request
 * @param connections - number of concurrent connections
 * @param durationMs - time during which new requests are sent, milliseconds
 * @returns rate and latency of the responses that count
 */
export async function runClosedLoop(
    url: string,
    headers: Record<string, string>,
    connections: number,
    durationMs: number,
): Promise<ClosedLoopResult> {
    const agent = new Agent({ keepAlive: true, maxSockets: connections });
    const latencies: number[] = [];
    const endsAt = performance.now() + durationMs;
    const startedAt = performance.now();
    await Promise.all(Array.from({ length: connections }, async () => {
        while (performance.now() < endsAt) {
            const sentAt = performance.now();
            if (await sendRequest(url, headers, agent)) {
                latencies.push(performance.now() - sentAt);
            }
        }
    }));
    const seconds = (performance.now() - startedAt) / 1_000;
    agent.destroy();
    latencies.sort((a, b) => a - b);
    const readPercentile = (fraction: number) => latencies[Math.floor(latencies.length * fraction)] ?? 0;
    return { requestsPerSecond: latencies.length / seconds, p50: readPercentile(0.5), p99: readPercentile(0.99) };
}

function sendRequest(url: string, headers: Record<string, string>, agent: Agent): Promise<boolean> {
    return new Promise(resolve => {
        const outgoing = request(url, { agent, headers }, incoming => {
            incoming.resume();
            incoming.on("end", () => resolve(incoming.statusCode === 200));
        });
        outgoing.on("error", () => resolve(false));
        outgoing.end();
    });
}
