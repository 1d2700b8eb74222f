import type { IncomingMessage, ServerResponse } from "node:http";

import { ChannelServer } from "../../channel/channel-server.js";
import type { FaultListener } from "../../containment/fault-listener.js";
import { HttpWorker } from "../../http/http-worker.js";
import { readBytes } from "../../http/read-bytes.js";
import type { PeerRequestHandler } from "./peer-request-handler.js";

/** Largest request body between processes, bytes; leaves a margin above a snapshot chunk or a whole configuration. */
const maxBodyBytes = 16 * 1024 * 1024;
const limits = { max_header_bytes: 8_192, max_connections: 1_024, header_timeout_ms: 5_000, idle_timeout_ms: 60_000 };

/** Serves requests from the other processes of the cluster, on channels and by HTTP. */
export class PeerServer extends HttpWorker {
    override readonly name = "peer-server";

    /**
     * @param address - address to listen on
     * @param handler - handles the requests
     * @param noteFault - called with each fault of a request
     */
    constructor(
        address: string,
        private readonly handler: Pick<PeerRequestHandler, "handleRequest">,
        noteFault: FaultListener,
    ) {
        const handleRequest: PeerRequestHandler["handleRequest"] = (...args) => handler.handleRequest(...args);
        const channels = new ChannelServer(handleRequest, noteFault);
        super(address, limits, noteFault, undefined, channels);
    }

    protected override async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBytes(request, maxBodyBytes);
        if (body.isErr) {
            response.writeHead(400).end();
            return;
        }
        const reply = await this.handler.handleRequest(request.url ?? "", body.value);
        response.writeHead(reply.status, { "content-type": "application/json" }).end(reply.body);
    }
}
