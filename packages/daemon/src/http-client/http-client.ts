import { Agent, type ClientRequest, request } from "node:http";
import type { Socket } from "node:net";
import Result from "true-myth/result";

import { parseAddress } from "../settings/parse-address.js";
import { CallFailureKind } from "./call-failure-kind.js";
import type { CallFailure } from "./call-failure.js";
import type { HttpCall } from "./http-call.js";
import type { HttpResponse } from "./http-response.js";

/** Maximum response size, bytes. A chunk of a snapshot or a whole configuration is much smaller. */
const maxResponseBytes = 16 * 1024 * 1024;

/**
 * Sends HTTP requests over persistent connections. A connection whose response times out is closed because it may be
 * half-open; the next request opens a new one.
 */
export class HttpClient {
    private readonly agent: Agent;

    /**
     * @param connectionsPerAddress - maximum number of concurrent connections to one address
     */
    constructor(connectionsPerAddress: number) {
        this.agent = new Agent({ keepAlive: true, maxSockets: connectionsPerAddress, scheduling: "lifo" });
    }

    /**
     * Sends a request and waits for the complete response.
     * @param call - the request
     * @returns the response, or a failure that says whether the server may have received the request
     */
    send(call: HttpCall): Promise<Result<HttpResponse, CallFailure>> {
        return new Promise(resolve => {
            const { host, port } = parseAddress(call.address);
            const outgoing = request({
                agent: this.agent,
                host,
                port,
                method: call.method,
                path: call.path,
                headers: { ...call.headers, "content-length": call.body?.length ?? 0 },
            });
            const pendingCall = new PendingCall(outgoing, call.timeoutMs, resolve);
            outgoing.on("response", response => {
                const chunks: Buffer[] = [];
                let bytes = 0;
                response.on("data", (chunk: Buffer) => {
                    bytes += chunk.length;
                    chunks.push(chunk);
                    if (bytes > maxResponseBytes) {
                        pendingCall.settleFailure("answer too large");
                    }
                });
                response.on("end", () => {
                    if (response.complete) {
                        pendingCall.settle(
                            Result.ok({ status: response.statusCode ?? 0, body: Buffer.concat(chunks) }),
                        );
                    }
                });
                response.on("close", () => pendingCall.settleFailure("answer cut short"));
            });
            outgoing.end(call.body);
        });
    }

    /** Closes all connections. */
    close(): void {
        this.agent.destroy();
    }
}

/**
 * Time limit for establishing a connection, milliseconds. Processes are a few milliseconds apart, so a slower attempt has
 * probably lost a packet, which is retransmitted only after a second.
 */
const connectTimeoutMs = 300;

/** Tracks one request until it completes, fails or times out, and reports only the first of these. */
class PendingCall {
    private isSettled = false;
    private isConnected = false;
    private readonly timer: NodeJS.Timeout;

    constructor(
        private readonly outgoing: ClientRequest,
        timeoutMs: number,
        private readonly resolve: (result: Result<HttpResponse, CallFailure>) => void,
    ) {
        this.timer = setTimeout(() => this.settleFailure("timeout", true), timeoutMs);
        outgoing.on("socket", (socket: Socket) => {
            socket.setNoDelay(true);
            if (socket.connecting) {
                const connectTimer = setTimeout(
                    () => this.settleFailure("no connection in time", true),
                    connectTimeoutMs,
                );
                socket.once("connect", () => {
                    clearTimeout(connectTimer);
                    this.isConnected = true;
                });
                socket.once("close", () => clearTimeout(connectTimer));
            }
            else {
                this.isConnected = true;
            }
        });
        outgoing.on("error", error => this.settleFailure(error.message));
    }

    settle(result: Result<HttpResponse, CallFailure>): void {
        if (!this.isSettled) {
            this.isSettled = true;
            clearTimeout(this.timer);
            this.resolve(result);
        }
    }

    settleFailure(detail: string, isTimeout = false): void {
        if (this.isSettled) {
            return;
        }
        const kind = this.isConnected ? CallFailureKind.Unanswered : CallFailureKind.NotSent;
        this.settle(Result.err({ kind, detail, isTimeout }));
        this.outgoing.destroy();
    }
}
