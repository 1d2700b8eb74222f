import type { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";

import type { HttpResponse } from "../http-client/http-response.js";
import { ChannelConnection } from "./channel-connection.js";
import { channelProtocol } from "./channel-protocol.js";
import { FrameKind } from "./frame-kind.js";
import type { Frame } from "./frame.js";

const internalError = 500;

/** Serves the channels that other processes open. */
export class ChannelServer {
    private readonly connections = new Set<ChannelConnection>();
    private inFlightCount = 0;
    private handleIdle: () => void = () => undefined;

    /**
     * @param handleRequest - computes the response to a request
     */
    constructor(private readonly handleRequest: (path: string, body: Buffer) => Promise<HttpResponse>) {}

    /**
     * Turns an HTTP connection into a channel.
     * @param request - the request for the upgrade
     * @param socket - its connection
     * @param head - bytes that arrived after the request
     */
    serveUpgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
        if (request.headers.upgrade !== channelProtocol || !(socket instanceof Socket)) {
            socket.destroy();
            return;
        }
        socket.write(`HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: ${channelProtocol}\r\n\r\n`);
        const connection: ChannelConnection = new ChannelConnection(socket, {
            handleFrame: frame => void this.serveFrame(connection, frame),
            handleClose: () => this.connections.delete(connection),
        }, () => performance.now());
        this.connections.add(connection);
        if (head.length > 0) {
            connection.receiveChunk(head);
        }
    }

    /**
     * Closes all channels once the requests in flight are answered.
     * @param maxWaitMs - time after which they are closed in any case, milliseconds
     */
    async stop(maxWaitMs: number): Promise<void> {
        if (this.inFlightCount > 0) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, maxWaitMs);
                this.handleIdle = () => {
                    clearTimeout(timer);
                    resolve();
                };
            });
        }
        [...this.connections].forEach(connection => connection.closeAfterWriting());
    }

    private async serveFrame(connection: ChannelConnection, { kind, id, path, body }: Frame): Promise<void> {
        if (kind !== FrameKind.Request && kind !== FrameKind.Notice) {
            connection.close();
            return;
        }
        this.inFlightCount += 1;
        const response = await this.handleRequest(path, body).catch((error: unknown) => ({
            status: internalError,
            body: Buffer.from(String(error)),
        }));
        if (kind === FrameKind.Request) {
            const { status } = response;
            connection.sendFrame({ kind: FrameKind.Response, id, status, path: "", body: response.body });
        }
        this.inFlightCount -= 1;
        if (this.inFlightCount === 0) {
            this.handleIdle();
        }
    }
}
