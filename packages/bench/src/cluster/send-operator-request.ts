import { request } from "node:http";

/** An answer of the operators' API. */
interface ApiResponse {
    readonly status: number;
    readonly body: Record<string, unknown>;
}

const timeoutMs = 5_000;

/**
 * Sends a request to one process's operators' listener.
 * @param address - address of the listener
 * @param token - operators' token
 * @param method - HTTP method
 * @param path - path
 * @param body - JSON content
 * @returns the answer, or `undefined` when there is none
 */
export function sendOperatorRequest(
    address: string,
    token: string,
    method: string,
    path: string,
    body?: unknown,
): Promise<ApiResponse | undefined> {
    const content = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
    return new Promise(resolve => {
        const outgoing = request(`http://${address}${path}`, {
            method,
            timeout: timeoutMs,
            headers: {
                authorization: `Bearer ${token}`,
                ...content === undefined ? {} : { "content-length": content.length },
            },
        }, incoming => {
            const chunks: Buffer[] = [];
            incoming.on("data", (chunk: Buffer) => chunks.push(chunk));
            incoming.on("error", () => resolve(undefined));
            incoming.on("end", () => {
                const answer = JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>;
                resolve({ status: incoming.statusCode ?? 0, body: answer });
            });
        });
        outgoing.on("timeout", () => outgoing.destroy());
        outgoing.on("error", () => resolve(undefined));
        outgoing.end(content);
    });
}
