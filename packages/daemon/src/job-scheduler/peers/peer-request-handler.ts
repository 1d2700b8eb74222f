import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";
import { leaderCallSchemas } from "@daisylock/protocol/fleet/leader-call-schemas.js";
import type { LeaderCalls } from "@daisylock/protocol/fleet/leader-calls.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import { RaftBatch } from "@daisylock/protocol/generated/raft.js";
import { decodeRaftMessages } from "@daisylock/protocol/peer/decode-raft-messages.js";

import type { NoticeSender } from "../../channel/notice-sender.js";
import type { HttpResponse } from "../../http-client/http-response.js";
import { parseJsonBody } from "../../http/parse-json-body.js";
import type { MeasureWork } from "../leader/measure-work.js";
import type { TargetRequestRelay } from "../relay/target-request-relay.js";
import type { FleetHandlers } from "./fleet-handlers.js";
import { peerPaths } from "./peer-paths.js";

const emptyBody = Buffer.alloc(0);
const accepted: HttpResponse = { status: 204, body: emptyBody };
const malformed: HttpResponse = { status: 400, body: emptyBody };
const unknownPath: HttpResponse = { status: 404, body: emptyBody };

/** Handles requests of other processes by their path. A malformed request is refused and changes nothing. */
export class PeerRequestHandler {
    /**
     * @param receive - called with messages of the replicated log and the sender's address
     * @param handlers - handlers by name of the call
     * @param relay - handles requests to targets that the leader asks this process to send
     * @param noteRequest - called for each request with its kind: the name of the call, or `log`
     * @param measure - runs work and records its time
     */
    constructor(
        private readonly receive: (messages: readonly RaftMessage[], from: string) => void,
        private readonly handlers: FleetHandlers,
        private readonly relay: Pick<TargetRequestRelay, "handleRequest" | "handleBatch">,
        private readonly noteRequest: (kind: string) => void,
        private readonly measure: MeasureWork = (_work, run) => run(),
    ) {}

    /**
     * Handles one request.
     * @param path - its path
     * @param body - its body
     * @param channel - channel on which it came; `undefined` for a request by HTTP
     * @returns the response; status 400 for a malformed body and 404 for an unknown path
     */
    async handleRequest(path: string, body: Buffer, channel?: NoticeSender): Promise<HttpResponse> {
        if (path === peerPaths.raft) {
            this.noteRequest("log");
            return this.measure("received log", () => this.handleRaftMessages(body));
        }
        if (path === peerPaths.relayBatch && channel !== undefined) {
            this.noteRequest("relay");
            return this.relay.handleBatch(body, channel);
        }
        if (path.startsWith(peerPaths.relay)) {
            this.noteRequest("relay");
            return this.relay.handleRequest(path.slice(peerPaths.relay.length), body);
        }
        const name = path.slice(peerPaths.call.length) as keyof LeaderCalls;
        if (!path.startsWith(peerPaths.call) || !Object.hasOwn(this.handlers, name)) {
            return unknownPath;
        }
        this.noteRequest(name);
        return this.measure(`received ${name}`, () => this.handleCall(name, body));
    }

    private handleRaftMessages(body: Buffer): HttpResponse {
        let batch: RaftBatch;
        try {
            batch = RaftBatch.decode(body);
        }
        catch {
            return malformed;
        }
        this.receive(decodeRaftMessages(batch), batch.fromAddress);
        return accepted;
    }

    private async handleCall(name: keyof LeaderCalls, body: Buffer): Promise<HttpResponse> {
        const request = parseJsonBody(body, leaderCallSchemas[name]);
        if (request === undefined) {
            return malformed;
        }
        const handler = this.handlers[name] as (request: unknown) => Promise<LeaderReply<unknown>>;
        const reply = await handler(request);
        return { status: 200, body: Buffer.from(JSON.stringify(reply)) };
    }
}
