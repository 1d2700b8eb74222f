import { request } from "node:http";

import { CommandFailure } from "../command-failure.js";
import { ExitCode } from "../exit-code.js";
import type { ApiResponse } from "./api-response.js";

/** Time without socket activity after which a request fails, milliseconds. */
const timeoutMs = 10_000;

/** Client of the operator API of one process, which forwards to the leader what only the leader can handle. */
export class OperatorClient {
    /**
     * @param server - IP address and port of the operator listener
     * @param token - operator token
     */
    constructor(private readonly server: string, private readonly token: string) {}

    /**
     * Sends a request and returns the response, whatever its status.
     * @param method - HTTP method
     * @param path - path and query
     * @param body - content, sent as JSON; none when absent
     * @returns the response
     * @throws CommandFailure when there is no response
     */
    async send(method: string, path: string, body?: unknown): Promise<ApiResponse> {
        const content = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
        return new Promise((resolve, reject) => {
            const outgoing = request(`http://${this.server}${path}`, {
                method,
                timeout: timeoutMs,
                headers: {
                    authorization: `Bearer ${this.token}`,
                    ...content === undefined
                        ? {}
                        : { "content-type": "application/json", "content-length": content.length },
                },
            }, incoming => {
                const chunks: Buffer[] = [];
                incoming.on("data", (chunk: Buffer) => chunks.push(chunk));
                incoming.on("end", () => resolve({ status: incoming.statusCode ?? 0, body: parseBody(chunks) }));
            });
            outgoing.on("timeout", () => outgoing.destroy());
            outgoing.on("error", error => {
                const message = `no response from ${this.server}: ${error.message}`;
                reject(new CommandFailure(ExitCode.Unreachable, message));
            });
            outgoing.end(content);
        });
    }

    /**
     * Sends a request and requires a status from 200 to 299.
     * @param method - HTTP method
     * @param path - path and query
     * @param body - content, sent as JSON; none when absent
     * @returns body of the response
     * @throws CommandFailure when there is no response or its status is another
     */
    async sendChecked(method: string, path: string, body?: unknown): Promise<Record<string, unknown>> {
        const response = await this.send(method, path, body);
        if (response.status >= 200 && response.status < 300) {
            return response.body;
        }
        const code = readExitCode(response);
        throw new CommandFailure(code, describeRefusal(response));
    }
}

function parseBody(chunks: readonly Buffer[]): Record<string, unknown> {
    try {
        return JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>;
    }
    catch {
        return {};
    }
}

function readExitCode(response: ApiResponse): ExitCode {
    if (response.body["outcome"] === "conflict") {
        return ExitCode.Conflict;
    }
    return response.status === 503 ? ExitCode.Unreachable : ExitCode.Refused;
}

function describeRefusal({ status, body }: ApiResponse): string {
    const winner = body["winner"] as { changeId: string; object: string; revision: number } | undefined;
    if (winner !== undefined) {
        return `conflict: ${winner.object} was changed at revision ${winner.revision} by change ${winner.changeId}`;
    }
    const errors = (body["faults"] ?? []) as unknown[];
    const lines = errors.map(error =>
        typeof error === "string" ? error : Object.values(error as Record<string, string>).join(" ")
    );
    return [`refused (${status}): ${readText(body["outcome"] ?? body["type"])}`, ...lines].join(
        "\n",
    );
}

function readText(value: unknown): string {
    return typeof value === "string" ? value : "no reason given";
}
