import type { OperateReply, OperateRequest } from "@daisylock/protocol/generated/peer.js";
import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import type { IncomingMessage, ServerResponse } from "node:http";
import type Result from "true-myth/result";

import { Mailbox } from "../../concurrency/mailbox.js";
import { waitFor } from "../../concurrency/wait-for.js";
import { HttpListener } from "../../http/http-listener.js";
import { isTokenValid } from "../../http/is-token-valid.js";
import { readJson } from "../../http/read-json.js";
import { sendJson } from "../../http/send-json.js";
import type { PeerFailure } from "../../peer/peer-failure.js";
import type { Settings } from "../../settings/settings.js";
import { Worker } from "../../supervision/worker.js";

const maxBodyBytes = 8 * 1024 * 1024;
const maxConnections = 64;
const stopMs = 1_000;

type Operate = (request: OperateRequest) => Promise<Result<OperateReply, PeerFailure>>;

/** Serves operators. */
export class OperatorListener extends Worker {
    override readonly name = "operator-listener";
    private readonly mailbox = new Mailbox<never>(1);
    private readonly listener: HttpListener;

    /**
     * @param settings - settings of the process
     * @param operate - answers a request, here or at the leader
     */
    constructor(private readonly settings: Settings, private readonly operate: Operate) {
        super();
        const { limits, listen } = settings;
        this.listener = new HttpListener(listen.operators, {
            maxHeaderBytes: limits.max_header_bytes,
            maxConnections,
            headerTimeoutMs: limits.header_timeout_ms,
            idleTimeoutMs: limits.idle_timeout_ms,
        }, (request, response) => {
            this.serve(request, response).catch(() => response.destroy());
        });
    }

    override *run(): Generator<unknown, void, unknown> {
        yield* waitFor(this.listener.start());
        yield* this.mailbox.take();
        yield* waitFor(this.listener.stop(stopMs));
    }

    override stop(): void {
        this.mailbox.close();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (!isTokenValid(request, this.settings.cluster.operator_token)) {
            sendJson(response, 401, { type: "not-authorized" });
            return;
        }
        const body = request.method === "POST" ? await readJson(request, maxBodyBytes) : undefined;
        if (body?.isErr === true) {
            sendJson(response, 400, { type: "malformed", faults: [body.error] });
            return;
        }
        const result = await this.operate({
            method: request.method ?? "GET",
            path: request.url ?? "/",
            body: body === undefined ? "" : JSON.stringify(body.value),
            ifMatch: request.headers["if-match"] ?? "",
            changeId: String(request.headers[HeaderName.ChangeId] ?? ""),
            hops: 0,
        });
        result.match({
            Ok: reply => sendJson(response, reply.status, JSON.parse(reply.body) as unknown),
            Err: failure => sendJson(response, 503, { type: failure.kind, detail: failure.detail }),
        });
    }
}
