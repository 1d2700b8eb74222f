import type { ServerResponse } from "node:http";

/**
 * Sends a JSON answer.
 * @param response - the response
 * @param status - HTTP status
 * @param body - content
 */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
    const content = Buffer.from(JSON.stringify(body));
    response.writeHead(status, { "content-type": "application/json", "content-length": content.length });
    response.end(content);
}
