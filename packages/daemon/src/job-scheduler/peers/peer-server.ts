import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";
import type { LeaderCalls } from "@daisylock/protocol/fleet/leader-calls.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import { RaftBatch } from "@daisylock/protocol/generated/raft.js";
import { decodeRaftMessages } from "@daisylock/protocol/peer/decode-raft-messages.js";
import type { IncomingMessage, ServerResponse } from "node:http";

import { ChannelServer } from "../../channel/channel-server.js";
import type { HttpResponse } from "../../http-client/http-response.js";
import { HttpWorker } from "../../http/http-worker.js";
import { readBytes } from "../../http/read-bytes.js";
import type { TargetRequestRelay } from "../relay/target-request-relay.js";
import type { FleetHandlers } from "./fleet-handlers.js";
import { peerPaths } from "./peer-paths.js";

/** Largest request body between processes, bytes; leaves a margin above a snapshot chunk or a whole configuration. */
const maxBodyBytes = 16 * 1024 * 1024;
const limits = { max_header_bytes: 8_192, max_connections: 1_024, header_timeout_ms: 5_000, idle_timeout_ms: 60_000 };

const emptyBody = Buffer.alloc(0);

/** Serves requests from the other processes of the cluster, on channels and by HTTP. */
export class PeerServer extends HttpWorker {
    override readonly name = "peer-server";

    /**
     * @param address - address to listen on
     * @param receive - called with messages of the replicated log and the sender's address
     * @param handlers - handlers by name of the call
     * @param relay - handles requests to targets that the leader asks this process to send
     * @param noteRequest - called for each request with its kind: the name of the call, or `log`
     */
    constructor(
        address: string,
        private readonly receive: (messages: readonly RaftMessage[], from: string) => void,
        private readonly handlers: FleetHandlers,
        private readonly relay: Pick<TargetRequestRelay, "handleRequest">,
        private readonly noteRequest: (kind: string) => void,
    ) {
        super(address, limits, undefined, new ChannelServer((path, body) => this.handleRequest(path, body)));
    }

    protected override async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBytes(request, maxBodyBytes);
        if (body.isErr) {
            response.writeHead(400).end();
            return;
        }
        const reply = await this.handleRequest(request.url ?? "", body.value);
        response.writeHead(reply.status, { "content-type": "application/json" }).end(reply.body);
    }

    private async handleRequest(path: string, body: Buffer): Promise<HttpResponse> {
        if (path === peerPaths.raft) {
            this.noteRequest("log");
            const batch = RaftBatch.decode(body);
            this.receive(decodeRaftMessages(batch), batch.fromAddress);
            return { status: 204, body: emptyBody };
        }
        if (path.startsWith(peerPaths.relay)) {
            this.noteRequest("relay");
            return this.relay.handleRequest(path.slice(peerPaths.relay.length), body);
        }
        const name = path.slice(peerPaths.call.length) as keyof LeaderCalls;
        if (!path.startsWith(peerPaths.call) || !Object.hasOwn(this.handlers, name)) {
            return { status: 404, body: emptyBody };
        }
        this.noteRequest(name);
        const handler = this.handlers[name] as (request: unknown) => Promise<LeaderReply<unknown>>;
        const reply = await handler(JSON.parse(body.toString()) as unknown);
        return { status: 200, body: Buffer.from(JSON.stringify(reply)) };
    }
}
