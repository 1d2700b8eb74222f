import type { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { inflateRawSync } from "node:zlib";

import type { FaultListener } from "../containment/fault-listener.js";
import { runContained } from "../containment/run-contained.js";
import { startContained } from "../containment/start-contained.js";
import { WorkKind } from "../containment/work-kind.js";
import type { Work } from "../containment/work.js";
import type { HttpResponse } from "../http-client/http-response.js";
import { ChannelConnection } from "./channel-connection.js";
import { channelDeflateHeader } from "./channel-deflate-header.js";
import { channelNoticeHeader } from "./channel-notice-header.js";
import { channelProtocol } from "./channel-protocol.js";
import { FrameKind } from "./frame-kind.js";
import type { Frame } from "./frame.js";
import type { NoticeSender } from "./notice-sender.js";

const internalError = 500;
/** Largest body of a notice, bytes; that of a plain one is bounded by the size of a frame. */
const maxNoticeBytes = 16 * 1024 * 1024;

/** Serves the channels that other processes open. */
export class ChannelServer {
    private readonly connections = new Set<ChannelConnection>();
    private inFlightCount = 0;
    private handleIdle: () => void = () => undefined;

    /**
     * @param handleRequest - computes the response to a request; the sender is the same for all requests on one channel
     * @param noteFault - called with each fault of a request or a channel
     */
    constructor(
        private readonly handleRequest: (path: string, body: Buffer, sender: NoticeSender) => Promise<HttpResponse>,
        private readonly noteFault: FaultListener,
    ) {}

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
        socket.write(
            `HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: ${channelProtocol}\r\n`
                + `${channelNoticeHeader}: 1\r\n${channelDeflateHeader}: 1\r\n\r\n`,
        );
        const address = `${socket.remoteAddress}:${socket.remotePort}`;
        const connection: ChannelConnection = new ChannelConnection(socket, {
            handleFrame: frame => this.startRequest(connection, frame),
            handleClose: () => this.connections.delete(connection),
            handleFault: error => this.noteFault({ work: WorkKind.PeerChannel, subject: address, error }),
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

    private startRequest(connection: ChannelConnection, received: Frame): void {
        const frame = received.kind === FrameKind.DeflatedNotice ? decodeNotice(received) : received;
        if (frame?.kind !== FrameKind.Request && frame?.kind !== FrameKind.Notice) {
            connection.close();
            return;
        }
        const work = { work: WorkKind.PeerRequest, subject: frame.path };
        this.inFlightCount += 1;
        startContained(this.noteFault, work, async () => {
            try {
                await this.serveRequest(connection, frame, work);
            }
            finally {
                this.inFlightCount -= 1;
                if (this.inFlightCount === 0) {
                    this.handleIdle();
                }
            }
        });
    }

    private async serveRequest(
        connection: ChannelConnection,
        { kind, id, path, body }: Frame,
        work: Work,
    ): Promise<void> {
        const response = await runContained(
            this.noteFault,
            work,
            () => this.handleRequest(path, body, connection),
            () => ({ status: internalError, body: Buffer.alloc(0) }),
        );
        if (kind === FrameKind.Request) {
            const { status } = response;
            connection.sendFrame({ kind: FrameKind.Response, id, status, path: "", body: response.body });
        }
    }
}

/** Returns `undefined` for a body that is no deflated one, or is too large. */
function decodeNotice(frame: Frame): Frame | undefined {
    try {
        const body = inflateRawSync(frame.body, { maxOutputLength: maxNoticeBytes });
        return { ...frame, kind: FrameKind.Notice, body };
    }
    catch {
        return undefined;
    }
}
