import { createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import { ListenFailure } from "../peer/listen-failure.js";
import { parseAddress } from "../settings/parse-address.js";

/** Size, connection and time limits of a listener. */
interface HttpLimits {
    readonly maxHeaderBytes: number;
    readonly maxConnections: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** An HTTP server with connection limits and a graceful shutdown that waits for requests in flight. */
export class HttpListener {
    private readonly server: Server;
    private inFlightRequests = 0;
    private isStopping = false;
    private handleIdle: () => void = () => undefined;

    /**
     * @param address - IP address and port to listen on
     * @param limits - size, connection and time limits
     * @param handle - called for each request; must write and end the response
     * @param handleUpgrade - called for each request to upgrade the connection; by default, these are plain requests
     */
    constructor(
        private readonly address: string,
        limits: HttpLimits,
        private readonly handle: (request: IncomingMessage, response: ServerResponse) => void,
        handleUpgrade?: (request: IncomingMessage, socket: Duplex, head: Buffer) => void,
    ) {
        const options: ServerOptions = {
            maxHeaderSize: limits.maxHeaderBytes,
            headersTimeout: limits.headerTimeoutMs,
            // A valid request may take a long time, so its progress is monitored instead of its total duration.
            requestTimeout: 0,
            keepAliveTimeout: limits.idleTimeoutMs,
            connectionsCheckingInterval: 1_000,
            noDelay: true,
        };
        this.server = createServer(options, (request, response) => this.serve(request, response));
        this.server.maxConnections = limits.maxConnections;
        if (handleUpgrade !== undefined) {
            this.server.on("upgrade", handleUpgrade);
        }
        this.server.on("clientError", (_error, socket) => socket.destroy());
    }

    /**
     * Starts listening.
     * @throws ListenFailure if the address cannot be bound
     */
    async start(): Promise<void> {
        const { host, port } = parseAddress(this.address);
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", error => reject(new ListenFailure(this.address, error.message)));
            this.server.listen(port, host, resolve);
        });
    }

    /**
     * Stops accepting connections and waits for requests in flight.
     * @param maxWaitMs - milliseconds after which the remaining connections are closed
     * @returns number of requests in flight that were aborted
     */
    async stop(maxWaitMs: number): Promise<number> {
        this.isStopping = true;
        this.server.close();
        this.server.closeIdleConnections();
        if (this.inFlightRequests > 0) {
            await this.waitForIdle(maxWaitMs);
        }
        const abortedCount = this.inFlightRequests;
        this.server.closeAllConnections();
        return abortedCount;
    }

    /**
     * Counts the requests in flight.
     * @returns number of requests
     */
    countInFlight(): number {
        return this.inFlightRequests;
    }

    private serve(request: IncomingMessage, response: ServerResponse): void {
        this.inFlightRequests += 1;
        if (this.isStopping) {
            response.setHeader("connection", "close");
        }
        response.once("close", () => {
            this.inFlightRequests -= 1;
            if (this.isStopping) {
                this.server.closeIdleConnections();
            }
            if (this.inFlightRequests === 0) {
                this.handleIdle();
            }
        });
        this.handle(request, response);
    }

    private waitForIdle(maxWaitMs: number): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, maxWaitMs);
            this.handleIdle = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }
}
