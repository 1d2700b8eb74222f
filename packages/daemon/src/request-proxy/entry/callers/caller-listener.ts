import { EventKind } from "@daisylock/core/events/event-kind.js";
import type { IncomingMessage, ServerResponse } from "node:http";

import { InvariantViolation } from "@daisylock/core/invariants/invariant-violation.js";
import { Mailbox } from "../../../concurrency/mailbox.js";
import { runGoroutine } from "../../../concurrency/run-goroutine.js";
import { waitFor } from "../../../concurrency/wait-for.js";
import { WorkKind } from "../../../containment/work-kind.js";
import { HttpListener } from "../../../http/http-listener.js";
import { sendJson } from "../../../http/send-json.js";
import { Worker } from "../../../supervision/worker.js";
import type { CallerDependencies } from "./caller-dependencies.js";
import { RequestHandler } from "./request-handler.js";

const healthPath = "/v1/health";
/** Part of the method and path of a request that is logged with a fault, characters. */
const maxSubjectLength = 200;

/** HTTP listener for requests of callers. */
export class CallerListener extends Worker {
    override readonly name = "caller-listener";
    private readonly mailbox = new Mailbox<never>(1);
    private readonly listener: HttpListener;

    /**
     * @param address - address to listen on
     * @param dependencies - components of the entry
     */
    constructor(address: string, private readonly dependencies: CallerDependencies) {
        super();
        const { limits } = dependencies.state.settings;
        this.listener = new HttpListener(address, {
            maxHeaderBytes: limits.max_header_bytes,
            maxConnections: limits.max_connections,
            headerTimeoutMs: limits.header_timeout_ms,
            idleTimeoutMs: limits.idle_timeout_ms,
        }, (request, response) => this.serve(request, response));
    }

    override *run(): Generator<unknown, void, unknown> {
        yield* waitFor(this.listener.start());
        yield* this.mailbox.take();
        yield* this.waitForDrain();
    }

    override stop(): void {
        this.dependencies.state.isLeaving = true;
        this.mailbox.close();
    }

    /**
     * Fails the health check for `leave_notice_ms` while still accepting requests, so that load balancers stop sending
     * new ones; then stops listening and waits up to `shutdown_ms` for the requests in flight.
     */
    private *waitForDrain(): Generator<unknown, void, unknown> {
        const { state, clock, events } = this.dependencies;
        const { leave_notice_ms, shutdown_ms } = state.settings.limits;
        yield* waitFor(new Promise<void>(resolve => clock.schedule(leave_notice_ms, resolve)));
        const abortedCount = yield* waitFor(this.listener.stop(shutdown_ms));
        events.record(EventKind.ProcessStopping, { detail: `${abortedCount} requests cut off` });
        this.dependencies.connections.close();
    }

    private serve(request: IncomingMessage, response: ServerResponse): void {
        if (request.url === healthPath) {
            this.serveHealth(response);
            return;
        }
        const handler = new RequestHandler(this.dependencies, request, response);
        runGoroutine(() => handler.run(), error => {
            if (error !== undefined) {
                this.handleFailure(request, response, error);
            }
            // Discards the rest of the body of a refused request, so that a caller that is still sending gets the response.
            request.resume();
        });
    }

    private serveHealth(response: ServerResponse): void {
        const { state } = this.dependencies;
        const isReady = !state.isLeaving && Number.isFinite(state.freshness.readAge());
        sendJson(response, isReady ? 200 : 503, { ready: isReady, fresh: state.freshness.isFresh() });
    }

    private handleFailure({ method, url }: IncomingMessage, response: ServerResponse, error: unknown): void {
        const { events, noteFault } = this.dependencies;
        if (error instanceof InvariantViolation) {
            events.record(EventKind.InvariantBroken, { detail: String(error) });
        }
        else {
            noteFault({ work: WorkKind.HttpRequest, subject: `${method} ${url}`.slice(0, maxSubjectLength), error });
        }
        response.destroy();
    }
}
