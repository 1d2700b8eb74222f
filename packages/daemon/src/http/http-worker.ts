import type { IncomingMessage, ServerResponse } from "node:http";

import type { ChannelServer } from "../channel/channel-server.js";
import { Mailbox } from "../concurrency/mailbox.js";
import { waitFor } from "../concurrency/wait-for.js";
import type { FaultListener } from "../containment/fault-listener.js";
import { startContained } from "../containment/start-contained.js";
import { WorkKind } from "../containment/work-kind.js";
import type { Settings } from "../settings/settings.js";
import { Worker } from "../supervision/worker.js";
import { HttpListener } from "./http-listener.js";

/** Default time limit for requests in flight when the worker stops, milliseconds. */
const defaultStopMs = 1_000;
/** Part of the method and path of a request that is logged with a fault, characters. */
const maxSubjectLength = 200;

/** Limits of a listener, as named in the settings. */
type ListenerLimits = Pick<
    Settings["limits"],
    "max_header_bytes" | "max_connections" | "header_timeout_ms" | "idle_timeout_ms"
>;

/** A worker that runs an HTTP listener for short requests. */
export abstract class HttpWorker extends Worker {
    private readonly mailbox = new Mailbox<never>(1);
    private readonly listener: HttpListener;

    /**
     * @param address - IP address and port to listen on
     * @param limits - limits that all listeners of the process share
     * @param noteFault - called with each fault of a request
     * @param stopMs - time limit for requests in flight when the worker stops, milliseconds
     * @param upgrades - serves the connections that are upgraded; without it, requests for an upgrade are plain requests
     */
    constructor(
        address: string,
        limits: ListenerLimits,
        noteFault: FaultListener,
        private readonly stopMs = defaultStopMs,
        private readonly upgrades?: Pick<ChannelServer, "serveUpgrade" | "stop">,
    ) {
        super();
        this.listener = new HttpListener(
            address,
            {
                maxHeaderBytes: limits.max_header_bytes,
                maxConnections: limits.max_connections,
                headerTimeoutMs: limits.header_timeout_ms,
                idleTimeoutMs: limits.idle_timeout_ms,
            },
            (request, response) => {
                const work = { work: WorkKind.HttpRequest, subject: describeRequest(request) };
                startContained(noteFault, work, () => this.serve(request, response), () => response.destroy());
            },
            upgrades === undefined ? undefined : (request, socket, head) => {
                const work = { work: WorkKind.PeerChannel, subject: describeRequest(request) };
                const serve = () => upgrades.serveUpgrade(request, socket, head);
                startContained(noteFault, work, serve, () => socket.destroy());
            },
        );
    }

    override *run(): Generator<unknown, void, unknown> {
        yield* waitFor(this.listener.start());
        yield* this.mailbox.take();
        yield* waitFor(Promise.all([this.listener.stop(this.stopMs), this.upgrades?.stop(this.stopMs)]));
    }

    override stop(): void {
        this.mailbox.close();
    }

    /**
     * Serves one request. A rejected promise is logged and counted, and closes its connection.
     * @param request - the request
     * @param response - the response to write
     */
    protected abstract serve(request: IncomingMessage, response: ServerResponse): Promise<void>;
}

function describeRequest({ method, url }: IncomingMessage): string {
    return `${method} ${url}`.slice(0, maxSubjectLength);
}
