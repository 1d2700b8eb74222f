import type { ServerResponse } from "node:http";

/**
 * Sends a JSON response and ends it.
 * @param response - the response to write
 * @param status - HTTP status code
 * @param body - value to serialize
 */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
    const content = Buffer.from(JSON.stringify(body));
    response.writeHead(status, { "content-type": "application/json", "content-length": content.length });
    response.end(content);
}
