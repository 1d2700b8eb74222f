import { Agent, type ClientRequest, request } from "node:http";
import type { Socket } from "node:net";
import Result from "true-myth/result";

import { parseAddress } from "../settings/parse-address.js";
import { CallFailureKind } from "./call-failure-kind.js";
import type { CallFailure } from "./call-failure.js";
import type { HttpCall } from "./http-call.js";
import type { HttpReply } from "./http-reply.js";

/** Largest answer that is read; a snapshot part or a whole configuration stays far below. */
const maxReplyBytes = 16 * 1024 * 1024;

/**
 * Sends requests over kept connections. A connection whose answer does not come in time is closed, so that one that has
 * gone silent is replaced by the next request.
 */
export class HttpClient {
    private readonly agent: Agent;

    /**
     * @param connectionsPerAddress - most connections to one address at a time
     */
    constructor(connectionsPerAddress: number) {
        this.agent = new Agent({ keepAlive: true, maxSockets: connectionsPerAddress, scheduling: "lifo" });
    }

    /**
     * Sends a request and waits for the whole answer.
     * @param call - the request
     * @returns the answer, or whether the other side may have seen the request
     */
    send(call: HttpCall): Promise<Result<HttpReply, CallFailure>> {
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
            const watch = new PendingCall(outgoing, call.timeoutMs, resolve);
            outgoing.on("response", response => {
                const chunks: Buffer[] = [];
                let bytes = 0;
                response.on("data", (chunk: Buffer) => {
                    bytes += chunk.length;
                    chunks.push(chunk);
                    if (bytes > maxReplyBytes) {
                        watch.settleFailure("answer too large");
                    }
                });
                response.on("end", () => {
                    if (response.complete) {
                        watch.settle(Result.ok({ status: response.statusCode ?? 0, body: Buffer.concat(chunks) }));
                    }
                });
                response.on("close", () => watch.settleFailure("answer cut short"));
            });
            outgoing.end(call.body);
        });
    }

    /** Closes all connections. */
    close(): void {
        this.agent.destroy();
    }
}

/** Longest wait for a connection; processes are a few milliseconds apart, and a lost packet is sent again after a second. */
const connectTimeoutMs = 300;

/** Watches one request until it is answered, fails or takes too long. */
class PendingCall {
    private isSettled = false;
    private isConnected = false;
    private readonly timer: NodeJS.Timeout;

    constructor(
        private readonly outgoing: ClientRequest,
        timeoutMs: number,
        private readonly resolve: (result: Result<HttpReply, CallFailure>) => void,
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

    settle(result: Result<HttpReply, CallFailure>): void {
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
