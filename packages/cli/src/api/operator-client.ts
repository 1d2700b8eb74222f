import { request } from "node:http";

import { CommandFailure } from "../command-failure.js";
import { ExitCode } from "../exit-code.js";
import type { ApiResponse } from "./api-response.js";

const timeoutMs = 10_000;

/** Calls the operators' API of one process, which passes on to the leader what only that may answer. */
export class OperatorClient {
    /**
     * @param server - IP number and port of the operators' listener
     * @param token - operators' token
     */
    constructor(private readonly server: string, private readonly token: string) {}

    /**
     * Sends a request and returns whatever the answer is.
     * @param method - HTTP method
     * @param path - path and query
     * @param body - JSON content
     * @returns the answer
     * @throws CommandFailure when there is none
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
                const message = `no answer from ${this.server}: ${error.message}`;
                reject(new CommandFailure(ExitCode.Unreachable, message));
            });
            outgoing.end(content);
        });
    }

    /**
     * Sends a request that has to succeed.
     * @param method - HTTP method
     * @param path - path and query
     * @param body - JSON content
     * @returns content of the answer
     * @throws CommandFailure when it does not succeed
     */
    async sendChecked(method: string, path: string, body?: unknown): Promise<Record<string, unknown>> {
        const answer = await this.send(method, path, body);
        if (answer.status >= 200 && answer.status < 300) {
            return answer.body;
        }
        const code = readExitCode(answer);
        throw new CommandFailure(code, describeRefusal(answer));
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

function readExitCode(answer: ApiResponse): ExitCode {
    if (answer.body["outcome"] === "conflict") {
        return ExitCode.Conflict;
    }
    return answer.status === 503 ? ExitCode.Unreachable : ExitCode.Refused;
}

function describeRefusal({ status, body }: ApiResponse): string {
    const winner = body["winner"] as { changeId: string; object: string; revision: number } | undefined;
    if (winner !== undefined) {
        return `conflict: ${winner.object} was changed at revision ${winner.revision} by change ${winner.changeId}`;
    }
    const faults = (body["faults"] ?? []) as unknown[];
    const lines = faults.map(fault =>
        typeof fault === "string" ? fault : Object.values(fault as Record<string, string>).join(" ")
    );
    return [`refused (${status}): ${readText(body["outcome"] ?? body["type"])}`, ...lines].join(
        "\n",
    );
}

function readText(value: unknown): string {
    return typeof value === "string" ? value : "no reason given";
}
