import { Agent, request } from "node:http";

import type { ClosedLoopResult } from "./closed-loop-result.js";

/**
 * Sends requests one after the other on a number of connections.
 * @param url - what to ask for
 * @param headers - header of each request
 * @param connections - number of connections
 * @param milliseconds - how long
 * @returns rate and times
 */
export async function runClosedLoop(
    url: string,
    headers: Record<string, string>,
    connections: number,
    milliseconds: number,
): Promise<ClosedLoopResult> {
    const agent = new Agent({ keepAlive: true, maxSockets: connections });
    const times: number[] = [];
    const endsAt = performance.now() + milliseconds;
    const startedAt = performance.now();
    await Promise.all(Array.from({ length: connections }, async () => {
        while (performance.now() < endsAt) {
            const sentAt = performance.now();
            if (await sendOne(url, headers, agent)) {
                times.push(performance.now() - sentAt);
            }
        }
    }));
    const seconds = (performance.now() - startedAt) / 1_000;
    agent.destroy();
    times.sort((a, b) => a - b);
    const read = (part: number) => times[Math.floor(times.length * part)] ?? 0;
    return { requestsPerSecond: times.length / seconds, p50: read(0.5), p99: read(0.99) };
}

function sendOne(url: string, headers: Record<string, string>, agent: Agent): Promise<boolean> {
    return new Promise(resolve => {
        const outgoing = request(url, { agent, headers }, incoming => {
            incoming.resume();
            incoming.on("end", () => resolve(incoming.statusCode === 200));
        });
        outgoing.on("error", () => resolve(false));
        outgoing.end();
    });
}
