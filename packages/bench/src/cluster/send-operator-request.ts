import { request } from "node:http";

/** A response of the operator API. */
interface ApiResponse {
    readonly status: number;
    readonly body: Record<string, unknown>;
}

const timeoutMs = 5_000;

/**
 * Sends a request to the operator API of one process.
 * @param address - address (`host:port`) of the operator listener
 * @param token - operator token, sent as a bearer token
 * @param method - HTTP method
 * @param path - URL path
 * @param body - request body, sent as JSON; none when `undefined`
 * @returns the response, or `undefined` on a connection error or a timeout
 */
export function sendOperatorRequest(
    address: string,
    token: string,
    method: string,
    path: string,
    body?: unknown,
): Promise<ApiResponse | undefined> {
    const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
    return new Promise(resolve => {
        const clientRequest = request(`http://${address}${path}`, {
            method,
            timeout: timeoutMs,
            headers: {
                authorization: `Bearer ${token}`,
                ...payload === undefined ? {} : { "content-length": payload.length },
            },
        }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", () => resolve(undefined));
            response.on("end", () => {
                const content = JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>;
                resolve({ status: response.statusCode ?? 0, body: content });
            });
        });
        clientRequest.on("timeout", () => clientRequest.destroy());
        clientRequest.on("error", () => resolve(undefined));
        clientRequest.end(payload);
    });
}
