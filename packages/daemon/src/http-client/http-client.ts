import { Agent, type ClientRequest, request } from "node:http";
import type { Socket } from "node:net";
import Result from "true-myth/result";

import { parseCallableAddress } from "../settings/parse-callable-address.js";
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
     * Sends a request and waits for the complete response. Never throws or rejects.
     * @param call - the request
     * @returns the response, or a failure that says whether the server may have received the request; one that can't be
     *     sent, for example because of its address, has not been received
     */
    send(call: HttpCall): Promise<Result<HttpResponse, CallFailure>> {
        return new Promise(resolve => {
            const outgoing = this.openRequest(call);
            if (outgoing.isErr) {
                resolve(Result.err(outgoing.error));
                return;
            }
            this.sendRequest(outgoing.value, call, resolve);
        });
    }

    /** Closes all connections. */
    close(): void {
        this.agent.destroy();
    }

    /** Node throws for a request that it can't send, for example because of a character in a header. */
    private openRequest(
        { address, method, path, headers, body }: HttpCall,
    ): Result<ClientRequest, CallFailure> {
        const server = parseCallableAddress(address);
        if (server === undefined) {
            return Result.err(buildNotSent(`${JSON.stringify(address)} is not an IP address and port`));
        }
        try {
            const allHeaders = { ...headers, "content-length": body?.length ?? 0 };
            return Result.ok(request({ agent: this.agent, ...server, method, path, headers: allHeaders }));
        }
        catch (error) {
            return Result.err(buildNotSent(String(error)));
        }
    }

    private sendRequest(
        outgoing: ClientRequest,
        call: HttpCall,
        resolve: (result: Result<HttpResponse, CallFailure>) => void,
    ): void {
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
    }
}

function buildNotSent(detail: string): CallFailure {
    return { kind: CallFailureKind.NotSent, detail, isTimeout: false };
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
