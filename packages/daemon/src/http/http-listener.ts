import { createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse } from "node:http";

import { ListenFailure } from "../peer/listen-failure.js";
import { parseAddress } from "../settings/parse-address.js";

/** Bounds of a listener. */
interface HttpLimits {
    readonly maxHeaderBytes: number;
    readonly maxConnections: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** An HTTP server with bounds, which stops without cutting off what is under way. */
export class HttpListener {
    private readonly server: Server;
    private inFlightRequests = 0;
    private isStopping = false;
    private handleIdle: () => void = () => undefined;

    /**
     * @param address - where to listen
     * @param bounds - bounds on connections and their clients
     * @param handle - serves one request
     */
    constructor(
        private readonly address: string,
        bounds: HttpLimits,
        private readonly handle: (request: IncomingMessage, response: ServerResponse) => void,
    ) {
        const options: ServerOptions = {
            maxHeaderSize: bounds.maxHeaderBytes,
            headersTimeout: bounds.headerTimeoutMs,
            // A whole request may take long; its progress is watched instead.
            requestTimeout: 0,
            keepAliveTimeout: bounds.idleTimeoutMs,
            connectionsCheckingInterval: 1_000,
            noDelay: true,
        };
        this.server = createServer(options, (request, response) => this.serve(request, response));
        this.server.maxConnections = bounds.maxConnections;
        this.server.on("clientError", (_error, socket) => socket.destroy());
    }

    /**
     * Starts listening.
     * @throws ListenFailure when the address can't be used
     */
    async start(): Promise<void> {
        const { host, port } = parseAddress(this.address);
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", error => reject(new ListenFailure(this.address, error.message)));
            this.server.listen(port, host, resolve);
        });
    }

    /**
     * Stops accepting and waits for what is under way.
     * @param maxWaitMs - milliseconds after which the rest is cut off
     * @returns number of requests that were cut off
     */
    async stop(maxWaitMs: number): Promise<number> {
        this.isStopping = true;
        this.server.close();
        this.server.closeIdleConnections();
        if (this.inFlightRequests > 0) {
            await this.waitForIdle(maxWaitMs);
        }
        const cutOff = this.inFlightRequests;
        this.server.closeAllConnections();
        return cutOff;
    }

    /**
     * Counts the requests under way.
     * @returns their number
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
